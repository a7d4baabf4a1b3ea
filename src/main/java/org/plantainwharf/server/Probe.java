package org.plantainwharf.server;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Schedule of the probes of one server that stopped answering. Owned by the control thread. */
final class Probe {
    /** Time-out of a probe. */
    static final long TIMEOUT_MILLIS = 1_000;

    private static final long INITIAL_DELAY_MILLIS = 500;
    private static final long MAXIMUM_DELAY_MILLIS = 8_000;

    /** Time after which the result of a probe counts as lost, and the probe is repeated. */
    private static final long RESULT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * TIMEOUT_MILLIS);

    private long dueNanos;
    private long delayMillis = INITIAL_DELAY_MILLIS;

    private Probe(long dueNanos) {
        this.dueNanos = dueNanos;
    }

    /** Returns a schedule whose first probe is due now. */
    static Probe create(long nowNanos) {
        return new Probe(nowNanos);
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    void recordSent(long nowNanos) {
        dueNanos = nowNanos + RESULT_TIMEOUT_NANOS;
    }

    /** Schedules the next probe after one without an answer, with exponential backoff and jitter. */
    void recordFailure(long nowNanos, SplittableRandom random) {
        long wait = delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
        dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(wait);
        delayMillis = Math.min(2 * delayMillis, MAXIMUM_DELAY_MILLIS);
    }
}
