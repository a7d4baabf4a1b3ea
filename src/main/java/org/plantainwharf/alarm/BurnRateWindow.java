package org.plantainwharf.alarm;

import java.util.concurrent.TimeUnit;

/**
 * Counts good and bad outcomes of the last hour in buckets of ten seconds. The burn rate is the share of bad outcomes
 * divided by the share that the error budget allows. Owned by the control thread.
 */
final class BurnRateWindow {
    /** Allowed share of bad outcomes: the objective is that 99 in 100 are good. */
    static final double ERROR_BUDGET = 0.01;

    static final long SHORT_NANOS = TimeUnit.MINUTES.toNanos(5);
    static final long LONG_NANOS = TimeUnit.HOURS.toNanos(1);

    private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int BUCKETS = (int) (LONG_NANOS / BUCKET_NANOS);

    private final int[] good = new int[BUCKETS];
    private final int[] bad = new int[BUCKETS];
    private final long firstNanos;
    private long newestBucket;

    private BurnRateWindow(long nowNanos) {
        firstNanos = nowNanos;
    }

    static BurnRateWindow create(long nowNanos) {
        return new BurnRateWindow(nowNanos);
    }

    void add(boolean isGood, long nowNanos) {
        int slot = advance(nowNanos);
        (isGood ? good : bad)[slot]++;
    }

    /** Clears the buckets between the newest one and the current one, and returns the index of the current one. */
    private int advance(long nowNanos) {
        long currentBucket = Math.max(newestBucket, (nowNanos - firstNanos) / BUCKET_NANOS);
        for (long bucket = Math.max(newestBucket + 1, currentBucket - BUCKETS + 1); bucket <= currentBucket; bucket++) {
            good[(int) (bucket % BUCKETS)] = 0;
            bad[(int) (bucket % BUCKETS)] = 0;
        }
        newestBucket = currentBucket;
        return (int) (currentBucket % BUCKETS);
    }

    /** Returns the number of outcomes in the short window. */
    int recentOutcomes(long nowNanos) {
        return sum(good, SHORT_NANOS, nowNanos) + sum(bad, SHORT_NANOS, nowNanos);
    }

    /** Returns the number of bad outcomes in the short window. */
    int recentBadOutcomes(long nowNanos) {
        return sum(bad, SHORT_NANOS, nowNanos);
    }

    double shortBurnRate(long nowNanos) {
        return burnRate(SHORT_NANOS, nowNanos);
    }

    double longBurnRate(long nowNanos) {
        return burnRate(LONG_NANOS, nowNanos);
    }

    /**
     * Returns the burn rate over a window, 0 without outcomes. The part of the window before the first outcome counts
     * as if it had had good outcomes at the same rate, since otherwise a few errors after every start would raise an
     * alarm.
     */
    private double burnRate(long windowNanos, long nowNanos) {
        int badCount = sum(bad, windowNanos, nowNanos);
        int total = sum(good, windowNanos, nowNanos) + badCount;
        long covered = Math.max(BUCKET_NANOS, Math.min(windowNanos, nowNanos - firstNanos));
        return total == 0 ? 0 : badCount / (total * ((double) windowNanos / covered)) / ERROR_BUDGET;
    }

    private int sum(int[] counts, long windowNanos, long nowNanos) {
        advance(nowNanos);
        int total = 0;
        for (long bucket = Math.max(0, newestBucket - windowNanos / BUCKET_NANOS + 1);
                bucket <= newestBucket;
                bucket++) {
            total += counts[(int) (bucket % BUCKETS)];
        }
        return total;
    }
}
