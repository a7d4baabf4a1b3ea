package org.plantainwharf.forward;

import java.time.Duration;

/** How long callers are told to wait before they ask again. Stateless. */
final class RetryAfter {
    /** Longest time that a caller is told to wait; a free server is usually there within it. */
    static final long LONGEST_MILLIS = 1_000;

    /** Callers wait at most a third of the time they have left. */
    private static final int PART = 3;

    private RetryAfter() {}

    /** Returns the time wanted, or the longest that the caller would wait. */
    static Duration within(ForwardHead head, long wantedMillis) {
        long most = head.deadlineMillis().orElse(LONGEST_MILLIS) / PART;
        return Duration.ofMillis(Math.max(1, Math.min(Math.min(wantedMillis, LONGEST_MILLIS), most)));
    }
}
