package org.plantainwharf.server;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Probing of one server that stopped answering. Owned by the control thread. */
final class Probe {
    /** Longest time to wait for the answer to a probe. */
    static final long TIMEOUT_MILLIS = 1_000;

    private static final long FIRST_DELAY_MILLIS = 500;
    private static final long LONGEST_DELAY_MILLIS = 8_000;

    /** A result that is this late was lost with its connection; the probe is repeated. */
    private static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * TIMEOUT_MILLIS);

    private long dueNanos;
    private long delayMillis = FIRST_DELAY_MILLIS;

    private Probe(long dueNanos) {
        this.dueNanos = dueNanos;
    }

    /** Returns a probe that is due now. */
    static Probe create(long nowNanos) {
        return new Probe(nowNanos);
    }

    boolean due(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    void sent(long nowNanos) {
        dueNanos = nowNanos + LOST_NANOS;
    }

    /** Plans the next probe after one without an answer. */
    void failed(long nowNanos, SplittableRandom random) {
        long wait = delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
        dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(wait);
        delayMillis = Math.min(2 * delayMillis, LONGEST_DELAY_MILLIS);
    }
}
