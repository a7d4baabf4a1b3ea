package org.plantainwharf.capacity;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Refusals and reclaims of one place, which fade with time. Owned by the control thread. */
final class PlaceHistory {
    /** After this time half of a refusal's or a reclaim's weight is left: waves of reclaims last minutes to an hour. */
    static final double HALF_LIFE_NANOS = TimeUnit.MINUTES.toNanos(20);

    private static final long FIRST_DELAY_MILLIS = 5_000;
    private static final long LONGEST_DELAY_MILLIS = 600_000;

    private double refusals;
    private double reclaims;
    private long fadedNanos;
    private int refusedInARow;
    private long retryNanos;

    private PlaceHistory(long nowNanos) {
        fadedNanos = nowNanos;
        retryNanos = nowNanos;
    }

    static PlaceHistory create(long nowNanos) {
        return new PlaceHistory(nowNanos);
    }

    private void fade(long nowNanos) {
        double kept = Math.pow(0.5, (nowNanos - fadedNanos) / HALF_LIFE_NANOS);
        refusals *= kept;
        reclaims *= kept;
        fadedNanos = nowNanos;
    }

    /** Counts a refused start; the place is left alone for a time that doubles with each refusal in a row. */
    void refused(long nowNanos, SplittableRandom random) {
        fade(nowNanos);
        refusals++;
        long delay = Math.min(LONGEST_DELAY_MILLIS, FIRST_DELAY_MILLIS << Math.min(refusedInARow, 20));
        refusedInARow++;
        retryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delay / 2 + random.nextLong(delay / 2 + 1));
    }

    void started() {
        refusedInARow = 0;
    }

    void reclaimed(long nowNanos) {
        fade(nowNanos);
        reclaims++;
    }

    boolean mayStart(long nowNanos) {
        return nowNanos - retryNanos >= 0;
    }

    /** Returns the refusals, recent ones counting more. */
    double refusals(long nowNanos) {
        fade(nowNanos);
        return refusals;
    }

    /** Returns the reclaims, recent ones counting more. */
    double reclaims(long nowNanos) {
        fade(nowNanos);
        return reclaims;
    }
}
