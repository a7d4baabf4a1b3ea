package org.plantainwharf.front;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Formats metrics in the Prometheus text format, version 0.0.4. Counters and meters become counters, histograms and
 * timers become summaries; timers are in seconds. Gauges without a numeric value are omitted. Stateless; thread-safe.
 */
final class PrometheusText {
    /** Media type of the format. */
    static final String MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final String PREFIX = "plantainwharf_";
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};
    private static final double NANOS_PER_SECOND = 1e9;

    private PrometheusText() {}

    /** Returns all metrics of a registry, sorted by name. */
    static String format(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        Map<String, String> namesBySample = new TreeMap<>();
        new TreeMap<>(registry.getMetrics()).forEach((name, metric) -> {
            String sample = sampleName(name, metric);
            // Names that differ only in unsupported characters map to the same sample name; only the first is written.
            if (namesBySample.putIfAbsent(sample, name) == null) {
                append(text, name, sample, metric);
            }
        });
        return text.toString();
    }

    private static String sampleName(String name, Metric metric) {
        String base = PREFIX + name.replaceAll("[^a-zA-Z0-9_]", "_");
        boolean isCounter = metric instanceof Counter || metric instanceof Meter;
        return isCounter ? base + "_total" : metric instanceof Timer ? base + "_seconds" : base;
    }

    private static void append(StringBuilder text, String name, String sample, Metric metric) {
        Consumer<String> header = type -> text.append("# HELP ")
                .append(sample)
                .append(' ')
                .append(escapeHelp(name))
                .append("\n# TYPE ")
                .append(sample)
                .append(' ')
                .append(type)
                .append('\n');
        if (metric instanceof Counter counter) {
            header.accept("counter");
            sample(text, sample, "", counter.getCount());
        } else if (metric instanceof Meter meter) {
            header.accept("counter");
            sample(text, sample, "", meter.getCount());
        } else if (metric instanceof Gauge<?> gauge) {
            if (gauge.getValue() instanceof Number value) {
                header.accept("gauge");
                sample(text, sample, "", value.doubleValue());
            }
        } else if (metric instanceof Histogram histogram) {
            header.accept("summary");
            summary(text, sample, histogram.getSnapshot(), histogram.getCount(), 1);
        } else if (metric instanceof Timer timer) {
            header.accept("summary");
            summary(text, sample, timer.getSnapshot(), timer.getCount(), NANOS_PER_SECOND);
        }
    }

    /**
     * Appends a summary. The registry keeps no sum, so it is estimated as the mean of recent values times the count.
     */
    private static void summary(StringBuilder text, String sample, Snapshot snapshot, long count, double unit) {
        for (double quantile : QUANTILES) {
            sample(text, sample, "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile) / unit);
        }
        sample(text, sample + "_sum", "", snapshot.getMean() * count / unit);
        sample(text, sample + "_count", "", count);
    }

    private static void sample(StringBuilder text, String name, String labels, double value) {
        text.append(name).append(labels).append(' ').append(formatNumber(value)).append('\n');
    }

    /** Formats a number: integers without a fraction, NaN and infinities as the format specifies. */
    static String formatNumber(double value) {
        if (Double.isNaN(value)) {
            return "NaN";
        }
        if (Double.isInfinite(value)) {
            return value > 0 ? "+Inf" : "-Inf";
        }
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? String.valueOf((long) value)
                : String.valueOf(value);
    }

    /** Escapes backslashes and line breaks, as the format requires in {@code HELP} lines. */
    static String escapeHelp(String text) {
        return text.replace("\\", "\\\\").replace("\n", "\\n");
    }
}
