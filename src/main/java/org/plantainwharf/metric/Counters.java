package org.plantainwharf.metric;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.AttemptProblem;

/**
 * Carries out {@link CountEffect} on a registry. Every {@link ErrorKind} and every reason
 * for a retry has a counter from the start, so that one that never occurred shows 0 and is not mistaken for one that is
 * not measured. Thread-safe.
 */
public final class Counters {
    private static final List<AttemptProblem> RETRY_REASONS = List.of(
            new AttemptProblem.ConnectFailed(),
            new AttemptProblem.RefusedBeforeRunning(false),
            new AttemptProblem.RefusedBeforeRunning(true),
            new AttemptProblem.ServerError(500),
            new AttemptProblem.ConnectionLost(),
            new AttemptProblem.ConnectionSilent(),
            new AttemptProblem.AnswerCrossed(),
            new AttemptProblem.AnswerTruncated());

    private final MetricRegistry registry;

    private Counters(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns the counters of a registry and registers those of the error table and of retries. */
    public static Counters create(MetricRegistry registry) {
        for (ErrorKind kind : ErrorKind.values()) {
            registry.counter(kind.metricName());
        }
        RETRY_REASONS.forEach(problem -> registry.counter("retries." + problem.code()));
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
