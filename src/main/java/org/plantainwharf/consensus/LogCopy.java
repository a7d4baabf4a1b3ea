package org.plantainwharf.consensus;

import java.util.concurrent.TimeUnit;

/**
 * What this host knows about how complete its copy of a replicated log is. Times are in nanoseconds on the host's
 * monotonic clock. Immutable.
 */
public sealed interface LogCopy {
    /** No member of the group has confirmed the copy since this process started. */
    record Unconfirmed() implements LogCopy {}

    /** Entries are known to be committed that this host has not applied. */
    record Incomplete() implements LogCopy {}

    /** Everything that was committed before a time is applied here. What was committed since is not known. */
    record CompleteUntil(long timeNanos) implements LogCopy {}

    /** Returns whether this host has applied everything that was committed longer than a duration ago. */
    default boolean isCurrent(long nowNanos, long durationNanos) {
        return switch (this) {
            case Unconfirmed unconfirmed -> false;
            case Incomplete incomplete -> false;
            case CompleteUntil complete -> nowNanos - complete.timeNanos() <= durationNanos;
        };
    }

    /** Returns the copy's state for log lines. */
    default String describe(long nowNanos) {
        return switch (this) {
            case Unconfirmed unconfirmed -> "unconfirmed";
            case Incomplete incomplete -> "incomplete";
            case CompleteUntil complete ->
                "complete_until_" + TimeUnit.NANOSECONDS.toMillis(nowNanos - complete.timeNanos()) + "_ms_ago";
        };
    }
}
