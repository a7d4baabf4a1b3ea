package org.plantainwharf.metric;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.AttemptProblem;

/**
 * Executes {@link CountEffect} on a metric registry. The counters of all error kinds and retry reasons are registered
 * on creation, so that an error that has not occurred is reported as 0 instead of being absent, which would look like
 * an error that is not counted. Thread-safe.
 */
public final class Counters {
    private static final List<AttemptProblem> RETRY_REASONS = List.of(
            new AttemptProblem.ConnectFailed(),
            new AttemptProblem.RefusedBeforeRunning(false),
            new AttemptProblem.RefusedBeforeRunning(true),
            new AttemptProblem.ServerError(500),
            new AttemptProblem.ConnectionLost(),
            new AttemptProblem.ConnectionSilent(),
            new AttemptProblem.AnswerMismatched(),
            new AttemptProblem.AnswerTruncated());

    private final MetricRegistry registry;

    private Counters(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns counters backed by a registry, in which it registers those of error kinds and retry reasons. */
    public static Counters create(MetricRegistry registry) {
        for (ErrorKind kind : ErrorKind.values()) {
            registry.counter(kind.metricName());
        }
        RETRY_REASONS.forEach(problem -> registry.counter("retries." + problem.code()));
        return new Counters(registry);
    }

    /** Adds to a counter, which is created on first use. */
    public void execute(CountEffect effect) {
        registry.counter(effect.metric()).inc(effect.amount());
    }

    /** Returns the value of a counter, or 0 if no such counter is registered. */
    public long count(String metric) {
        com.codahale.metrics.Counter counter = registry.getCounters().get(metric);
        return counter == null ? 0 : counter.getCount();
    }
}
