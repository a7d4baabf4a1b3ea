package org.plantainwharf.duty;

import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;

/**
 * The number of servers that a service has required lately. A duty holder that has just begun does not know what was
 * required before; the servers that are present are the best evidence, so that a change of the holder or a start of all
 * daemons gives up no server that callers need in the next moment.
 *
 * <p>Invariant: the number falls only after a lower one was required for the time that it is kept. Owned by the control
 * thread.
 */
final class RecentRequirement {
    /** Time for which the peak is kept; a wave of demand lasts about ten seconds. */
    static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(12);

    /** Time for which servers are kept that no caller has used yet, as at the start of a system before its callers. */
    static final long UNUSED_KEEP_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time within which every server that is present has reported. */
    static final long LEARNING_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final long begunNanos;
    private int servers;
    private long sinceNanos;
    private boolean demanded;

    private RecentRequirement(long nowNanos) {
        this.begunNanos = nowNanos;
        this.sinceNanos = nowNanos;
    }

    /** Returns the requirement of a holder that begins now. */
    static RecentRequirement beginning(long nowNanos) {
        return new RecentRequirement(nowNanos);
    }

    /** Returns whether servers may be present that have not reported to this holder yet. */
    boolean learning(long nowNanos) {
        return nowNanos - begunNanos < LEARNING_NANOS;
    }

    /**
     * Records the present requirement and returns the recent one.
     *
     * @param required servers that the reported demand requires
     * @param hasDemand whether any demand was reported
     * @param present servers that are ready
     * @param withSpare returns how many servers run where a number of them is required
     */
    int update(int required, boolean hasDemand, int present, IntUnaryOperator withSpare, long nowNanos) {
        if (hasDemand && !demanded) {
            demanded = true;
            sinceNanos = nowNanos;
        }
        if (learning(nowNanos)) {
            servers = Math.max(servers, requirementOf(present, withSpare));
        }
        long keepNanos = demanded ? KEEP_NANOS : UNUSED_KEEP_NANOS;
        if (required >= servers || nowNanos - sinceNanos >= keepNanos) {
            servers = required;
            sinceNanos = nowNanos;
        }
        return servers;
    }

    /** Returns the largest requirement for which this many servers run. */
    private static int requirementOf(int present, IntUnaryOperator withSpare) {
        int required = present;
        while (required > 0 && withSpare.applyAsInt(required) > present) {
            required--;
        }
        return required;
    }
}
