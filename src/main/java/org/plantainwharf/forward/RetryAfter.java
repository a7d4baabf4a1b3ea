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

    /**
     * Time from the first request that finds no service document until one is in force, after a start of all daemons: the
     * control group elects a leader within about a second, and entry daemons learn the document from it.
     */
    private static final long FIRST_DOCUMENT_MILLIS = 1_200;

    /** Range over which the callers are spread that wait for the first document, so that they do not return together. */
    private static final long FIRST_DOCUMENT_SPREAD_MILLIS = 400;

    private RetryAfter() {}

    /**
     * Returns the time until a service document is probably in force, plus a part of the spread; at most a third of the
     * caller's deadline, which is {@link #MAXIMUM_MILLIS} if it sent none.
     *
     * @param waitedMillis time since the first request that found no document
     * @param spreadFraction 0 to 1
     */
    static Duration untilFirstDocument(ForwardHead head, long waitedMillis, double spreadFraction) {
        long expected = Math.max(0, FIRST_DOCUMENT_MILLIS - waitedMillis)
                + (long) (FIRST_DOCUMENT_SPREAD_MILLIS * (1 + spreadFraction) / 2);
        long limitMillis = head.deadlineMillis().orElse(MAXIMUM_MILLIS) / DEADLINE_DIVISOR;
        return Duration.ofMillis(Math.max(1, Math.min(expected, limitMillis)));
    }

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
