package org.plantainwharf.error;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * One occurrence of an error. Immutable.
 *
 * @param kind the kind of error
 * @param arguments values for the placeholders of the message template, in order
 * @param executionStatus whether the request ran; at least as precise as the value of the kind
 * @param retryAfter time after which the caller may retry, empty if unknown
 */
public record Failure(
        ErrorKind kind, List<String> arguments, ExecutionStatus executionStatus, Optional<Duration> retryAfter) {
    /** Copies the arguments. */
    public Failure {
        arguments = List.copyOf(arguments);
    }

    /** Returns a failure of a kind, with one argument for each placeholder of its message template. */
    public static Failure of(ErrorKind kind, Object... arguments) {
        List<String> texts = Arrays.stream(arguments).map(String::valueOf).toList();
        return new Failure(kind, texts, kind.executionStatus(), Optional.empty());
    }

    /** Returns a copy of this failure with a time after which the caller may retry. */
    public Failure withRetryAfter(Duration delay) {
        return new Failure(kind, arguments, executionStatus, Optional.of(delay));
    }

    /** Returns a copy of this failure that states more precisely whether the request ran. */
    public Failure withExecutionStatus(ExecutionStatus value) {
        return new Failure(kind, arguments, value, retryAfter);
    }

    /** Returns the message template with the arguments filled in. */
    public String message() {
        return String.format(kind.messageTemplate(), arguments.toArray());
    }
}
