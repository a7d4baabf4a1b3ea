package org.plantainwharf.retry;

import java.util.Arrays;

/**
 * Limits retries in a sliding window of ten seconds to a share of the first attempts, by default a tenth, but allows a
 * minimum number. A failing zone thus adds at most this share to the load of the others. Owned by the control thread.
 */
public final class RetryBudget {
    private static final int WINDOW_SECONDS = 10;

    /** Retries per first attempt, unless configured otherwise. */
    private static final double DEFAULT_SHARE = 0.1;

    /** Retries that are always allowed in a window, so that calls can be retried when there is little traffic. */
    private static final int DEFAULT_MINIMUM = 3;

    private final double share;
    private final double minimum;

    private final long[] seconds = new long[WINDOW_SECONDS];
    private final int[] attempts = new int[WINDOW_SECONDS];
    private final int[] retries = new int[WINDOW_SECONDS];

    private RetryBudget(double share, double minimum) {
        this.share = share;
        this.minimum = minimum;
        Arrays.fill(seconds, Long.MIN_VALUE);
    }

    static RetryBudget create() {
        return new RetryBudget(DEFAULT_SHARE, DEFAULT_MINIMUM);
    }

    /**
     * Returns an unused budget.
     *
     * @param share retries allowed, as a fraction of the first attempts of the last ten seconds
     * @param minimum retries always allowed in ten seconds, whatever the number of calls
     */
    public static RetryBudget create(double share, double minimum) {
        return new RetryBudget(share, minimum);
    }

    /** Counts the first attempt of a call. */
    public void countAttempt(long nowNanos) {
        attempts[slot(nowNanos)]++;
    }

    /** Counts a retry and returns true if the budget allows one; otherwise returns false. */
    public boolean tryRetry(long nowNanos) {
        long second = Math.floorDiv(nowNanos, 1_000_000_000L);
        int recentAttempts = 0;
        int recentRetries = 0;
        for (int slot = 0; slot < WINDOW_SECONDS; slot++) {
            if (seconds[slot] > second - WINDOW_SECONDS) {
                recentAttempts += attempts[slot];
                recentRetries += retries[slot];
            }
        }
        if (recentRetries >= Math.max(minimum, share * recentAttempts)) {
            return false;
        }
        retries[slot(nowNanos)]++;
        return true;
    }

    private int slot(long nowNanos) {
        long second = Math.floorDiv(nowNanos, 1_000_000_000L);
        int slot = (int) Math.floorMod(second, (long) WINDOW_SECONDS);
        if (seconds[slot] != second) {
            seconds[slot] = second;
            attempts[slot] = 0;
            retries[slot] = 0;
        }
        return slot;
    }
}
