package org.plantainwharf.error;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * One error with its arguments. Immutable.
 *
 * @param kind the row of the error table
 * @param arguments values for the message template, in its order
 * @param ran whether the request ran; at least as precise as the kind's own value
 * @param retryAfter when the caller may try again, if known
 */
public record Failure(ErrorKind kind, List<String> arguments, Ran ran, Optional<Duration> retryAfter) {
    /** Copies the arguments. */
    public Failure {
        arguments = List.copyOf(arguments);
    }

    /** Returns a failure of this kind. */
    public static Failure of(ErrorKind kind, Object... arguments) {
        List<String> texts = Arrays.stream(arguments).map(String::valueOf).toList();
        return new Failure(kind, texts, kind.ran(), Optional.empty());
    }

    /** Returns this failure with a time after which the caller may try again. */
    public Failure withRetryAfter(Duration delay) {
        return new Failure(kind, arguments, ran, Optional.of(delay));
    }

    /** Returns this failure with a more precise statement on whether the request ran. */
    public Failure withRan(Ran value) {
        return new Failure(kind, arguments, value, retryAfter);
    }

    /** Returns the message with its arguments filled in. */
    public String message() {
        return String.format(kind.messageTemplate(), arguments.toArray());
    }
}
