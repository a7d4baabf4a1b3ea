package org.plantainwharf.alarm;

import java.util.concurrent.TimeUnit;

/**
 * Good and bad outcomes of the last hour in buckets of ten seconds. Burn is the share of bad outcomes divided by the
 * share that the error budget allows. Owned by the control thread.
 */
final class BurnWindow {
    /** One outcome in a hundred may be bad before callers are worse off than promised. */
    static final double ERROR_BUDGET = 0.01;

    static final long SHORT_NANOS = TimeUnit.MINUTES.toNanos(5);
    static final long LONG_NANOS = TimeUnit.HOURS.toNanos(1);

    private static final long BUCKET_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final int BUCKETS = (int) (LONG_NANOS / BUCKET_NANOS);

    private final int[] good = new int[BUCKETS];
    private final int[] bad = new int[BUCKETS];
    private final long firstNanos;
    private long newest;

    private BurnWindow(long nowNanos) {
        firstNanos = nowNanos;
    }

    static BurnWindow create(long nowNanos) {
        return new BurnWindow(nowNanos);
    }

    void add(boolean isGood, long nowNanos) {
        int slot = advance(nowNanos);
        (isGood ? good : bad)[slot]++;
    }

    /** Empties the buckets between the newest one and the present and returns the present one. */
    private int advance(long nowNanos) {
        long present = Math.max(newest, (nowNanos - firstNanos) / BUCKET_NANOS);
        for (long bucket = Math.max(newest + 1, present - BUCKETS + 1); bucket <= present; bucket++) {
            good[(int) (bucket % BUCKETS)] = 0;
            bad[(int) (bucket % BUCKETS)] = 0;
        }
        newest = present;
        return (int) (present % BUCKETS);
    }

    /** Returns the number of outcomes in the short window. */
    int recent(long nowNanos) {
        return sum(good, SHORT_NANOS, nowNanos) + sum(bad, SHORT_NANOS, nowNanos);
    }

    /** Returns the number of bad outcomes in the short window. */
    int recentBad(long nowNanos) {
        return sum(bad, SHORT_NANOS, nowNanos);
    }

    double shortBurn(long nowNanos) {
        return burn(SHORT_NANOS, nowNanos);
    }

    double longBurn(long nowNanos) {
        return burn(LONG_NANOS, nowNanos);
    }

    /** Time before the first outcome counts as good time with as many outcomes, or every start would look like trouble. */
    private double burn(long windowNanos, long nowNanos) {
        int badCount = sum(bad, windowNanos, nowNanos);
        int total = sum(good, windowNanos, nowNanos) + badCount;
        long covered = Math.max(BUCKET_NANOS, Math.min(windowNanos, nowNanos - firstNanos));
        return total == 0 ? 0 : badCount / (total * ((double) windowNanos / covered)) / ERROR_BUDGET;
    }

    private int sum(int[] counts, long windowNanos, long nowNanos) {
        advance(nowNanos);
        int total = 0;
        for (long bucket = Math.max(0, newest - windowNanos / BUCKET_NANOS + 1); bucket <= newest; bucket++) {
            total += counts[(int) (bucket % BUCKETS)];
        }
        return total;
    }
}
