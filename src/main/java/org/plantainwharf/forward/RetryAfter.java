package org.plantainwharf.forward;

import java.time.Duration;

/** Computes the Retry-After time sent to callers. Stateless. */
final class RetryAfter {
    /**
     * Upper bound of the Retry-After time, and the deadline assumed for callers that sent none. Usually a server is
     * available before this time has passed.
     */
    static final long MAXIMUM_MILLIS = 1_000;

    /** The Retry-After time is at most the caller's deadline divided by this. */
    private static final int DEADLINE_DIVISOR = 3;

    private RetryAfter() {}

    /** Returns the time until a server accepts requests again, which is known and so not shortened; at least 1 ms. */
    static Duration known(long millis) {
        return Duration.ofMillis(Math.max(1, millis));
    }

    /**
     * Returns the desired time, but at most {@link #MAXIMUM_MILLIS}, at most a third of the caller's deadline (a third
     * of {@link #MAXIMUM_MILLIS} if it sent none), and at least 1 ms.
     */
    static Duration limitedBy(ForwardHead head, long desiredMillis) {
        long limitMillis = head.deadlineMillis().orElse(MAXIMUM_MILLIS) / DEADLINE_DIVISOR;
        return Duration.ofMillis(Math.max(1, Math.min(Math.min(desiredMillis, MAXIMUM_MILLIS), limitMillis)));
    }
}
