package org.plantainwharf.forward;

import java.time.Duration;

/** How long callers are told to wait before they ask again. Stateless. */
final class RetryAfter {
    /** Longest time that a caller is told to wait; a free server is usually there within it. */
    static final long MAXIMUM_MILLIS = 1_000;

    /** Callers wait at most a third of the time they have left. */
    private static final int DEADLINE_DIVISOR = 3;

    private RetryAfter() {}

    /** Returns the time wanted, or the longest that the caller would wait. */
    static Duration limitedBy(ForwardHead head, long desiredMillis) {
        long limitMillis = head.deadlineMillis().orElse(MAXIMUM_MILLIS) / DEADLINE_DIVISOR;
        return Duration.ofMillis(Math.max(1, Math.min(Math.min(desiredMillis, MAXIMUM_MILLIS), limitMillis)));
    }
}
