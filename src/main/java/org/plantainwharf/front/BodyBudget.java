package org.plantainwharf.front;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.control.Clock;

/**
 * Memory that the bodies of unfinished requests may take, and the time in which a body must arrive. Thread-safe: the
 * state is guarded by this object's lock.
 *
 * <p>Invariant: the reserved bytes never exceed the capacity. The last quarter is kept for bodies of up to 256 KiB, so
 * that a few large bodies do not keep out all the others.
 */
public final class BodyBudget {
    private static final int SMALL_BODY_BYTES = 256 << 10;
    private static final long MAXIMUM_RECEIVE_NANOS = TimeUnit.SECONDS.toNanos(30);
    private static final long MINIMUM_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MAXIMUM_RETRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Clock clock;
    private final long capacityBytes;
    private long reservedBytes;
    private long lastReturnNanos;

    private BodyBudget(Clock clock, long capacityBytes) {
        this.clock = clock;
        this.capacityBytes = capacityBytes;
        this.lastReturnNanos = clock.nowNanos();
    }

    /** Returns a budget of a fixed size. */
    static BodyBudget ofBytes(Clock clock, long capacityBytes) {
        return new BodyBudget(clock, capacityBytes);
    }

    /**
     * Returns a budget of a share of the largest heap.
     *
     * @param share between 0 and 1; the shares of all budgets of a process must leave room for everything else
     */
    public static BodyBudget ofHeap(Clock clock, double share) {
        return new BodyBudget(clock, (long) (Runtime.getRuntime().maxMemory() * share));
    }

    /** Returns the size of the largest body that can ever be received, in bytes. */
    long largestBodyBytes() {
        return capacityBytes / 4 * 3;
    }

    synchronized long reservedBytes() {
        return reservedBytes;
    }

    /**
     * Reserves memory for a body, or returns false if there is too little left.
     *
     * @param bytes additional bytes
     * @param bodyBytes size of the body as far as it is known, these bytes included
     */
    synchronized boolean tryReserve(long bytes, long bodyBytes) {
        long limitBytes = bodyBytes > SMALL_BODY_BYTES ? largestBodyBytes() : capacityBytes;
        if (reservedBytes + bytes > limitBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    synchronized void release(long bytes) {
        reservedBytes -= bytes;
    }

    /**
     * Returns when a caller whose body was refused should return, 0.5 to 4 s. Times follow each other, so that the bodies
     * that return within a second take at most the whole budget.
     */
    synchronized Duration nextRetryAfter(long bodyBytes) {
        long now = clock.nowNanos();
        long spreadNanos = (long) ((double) bodyBytes / capacityBytes * TimeUnit.SECONDS.toNanos(1));
        long waitNanos = Math.max(lastReturnNanos + spreadNanos - now, MINIMUM_RETRY_NANOS);
        lastReturnNanos = now + Math.min(waitNanos, MAXIMUM_RETRY_NANOS);
        return Duration.ofNanos(lastReturnNanos - now);
    }

    /** Returns the time until which a body that begins now must have arrived, on the monotonic clock. */
    long receiveDeadlineNanos() {
        return clock.nowNanos() + MAXIMUM_RECEIVE_NANOS;
    }

    boolean isPast(long deadlineNanos) {
        return clock.nowNanos() - deadlineNanos > 0;
    }
}
