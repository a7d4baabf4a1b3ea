package org.plantainwharf.metric;

import com.codahale.metrics.MetricRegistry;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.error.ErrorKind;

/**
 * Carries out {@link CountEffect} on a registry. Every {@link ErrorKind} has a counter from the start, so that a kind
 * that never occurred shows 0 and is not mistaken for one that is not measured. Thread-safe.
 */
public final class Counters {
    private final MetricRegistry registry;

    private Counters(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the counters of a registry and registers those of the error table. */
    public static Counters create(MetricRegistry registry) {
        for (ErrorKind kind : ErrorKind.values()) {
            registry.counter(kind.metricName());
        }
        return new Counters(registry);
    }

    /** Adds to a counter and creates it if needed. */
    public void execute(CountEffect effect) {
        registry.counter(effect.metric()).inc(effect.amount());
    }

    /** Returns what a counter holds, 0 for an unknown one. */
    public long count(String metric) {
        com.codahale.metrics.Counter counter = registry.getCounters().get(metric);
        return counter == null ? 0 : counter.getCount();
    }
}
