package org.plantainwharf.capacity;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Refused starts and reclaims of one capacity pool, weighted by exponential decay. Owned by the control thread. */
final class CapacityPoolHistory {
    /** Half-life of the weight of a refusal or reclaim; waves of reclaims last from minutes to an hour. */
    static final double HALF_LIFE_NANOS = TimeUnit.MINUTES.toNanos(20);

    private static final long INITIAL_BACKOFF_MILLIS = 5_000;
    private static final long MAXIMUM_BACKOFF_MILLIS = 600_000;

    private double refusals;
    private double reclaims;
    private long lastDecayNanos;
    private int consecutiveRefusals;
    private long retryAtNanos;

    private CapacityPoolHistory(long nowNanos) {
        lastDecayNanos = nowNanos;
        retryAtNanos = nowNanos;
    }

    static CapacityPoolHistory create(long nowNanos) {
        return new CapacityPoolHistory(nowNanos);
    }

    private void decay(long nowNanos) {
        double factor = Math.pow(0.5, (nowNanos - lastDecayNanos) / HALF_LIFE_NANOS);
        refusals *= factor;
        reclaims *= factor;
        lastDecayNanos = nowNanos;
    }

    /**
     * Counts a refused start and blocks the pool for a random time whose bound doubles with each consecutive refusal.
     */
    void recordRefusal(long nowNanos, SplittableRandom random) {
        decay(nowNanos);
        refusals++;
        long delay = Math.min(MAXIMUM_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(consecutiveRefusals, 20));
        consecutiveRefusals++;
        retryAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delay / 2 + random.nextLong(delay / 2 + 1));
    }

    void recordStart() {
        consecutiveRefusals = 0;
    }

    void recordReclaim(long nowNanos) {
        decay(nowNanos);
        reclaims++;
    }

    boolean mayStart(long nowNanos) {
        return nowNanos - retryAtNanos >= 0;
    }

    /** Returns the decayed number of refusals. */
    double refusals(long nowNanos) {
        decay(nowNanos);
        return refusals;
    }

    /** Returns the decayed number of reclaims. */
    double reclaims(long nowNanos) {
        decay(nowNanos);
        return reclaims;
    }
}
