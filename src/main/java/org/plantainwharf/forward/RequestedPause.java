package org.plantainwharf.forward;

import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/** The time for which a server that has turned a request away wants no others. Immutable. */
public sealed interface RequestedPause {
    /** A longer pause ends after this time, so that a wrong figure does not take a server out for ever. */
    long MAXIMUM_MILLIS = TimeUnit.DAYS.toMillis(1);

    /** The server names no time. */
    record None() implements RequestedPause {}

    /** The server names a time that cannot be used: negative, a date, or no number. */
    record Unusable(String text) implements RequestedPause {}

    /**
     * The server names a time.
     *
     * @param bounded whether it named a longer one than {@link #MAXIMUM_MILLIS}
     */
    record For(long millis, boolean bounded) implements RequestedPause {}

    /** Returns the pause that a server names in seconds, which may have a fraction; null if it names none. */
    static RequestedPause parse(@Nullable String text) {
        if (text == null) {
            return new None();
        }
        try {
            double millis = Double.parseDouble(text.strip()) * 1_000;
            if (millis >= 0) {
                return new For((long) Math.ceil(Math.min(millis, MAXIMUM_MILLIS)), millis > MAXIMUM_MILLIS);
            }
        } catch (NumberFormatException e) {
            // Reported like a negative number.
        }
        return new Unusable(text.length() > 40 ? text.substring(0, 40) : text);
    }
}
