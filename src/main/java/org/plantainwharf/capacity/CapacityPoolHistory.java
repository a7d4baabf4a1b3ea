package org.plantainwharf.capacity;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Refusals and reclaims of one place, which fade with time. Owned by the control thread. */
final class CapacityPoolHistory {
    /** After this time half of a refusal's or a reclaim's weight is left: waves of reclaims last minutes to an hour. */
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

    /** Counts a refused start; the place is left alone for a time that doubles with each refusal in a row. */
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

    /** Returns the refusals, recent ones counting more. */
    double refusals(long nowNanos) {
        decay(nowNanos);
        return refusals;
    }

    /** Returns the reclaims, recent ones counting more. */
    double reclaims(long nowNanos) {
        decay(nowNanos);
        return reclaims;
    }
}
