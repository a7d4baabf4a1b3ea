package org.plantainwharf.effect;

/** How the body of a server's response is processed. Immutable. */
public sealed interface AnswerHandling {
    /** Forwards the body to the caller as it arrives. */
    record Stream() implements AnswerHandling {}

    /** Buffers the body, up to {@code maximumBytes}, and delivers it with the completion event. */
    record Buffer(int maximumBytes) implements AnswerHandling {}
}
