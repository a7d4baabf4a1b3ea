package org.plantainwharf.effect;

/** What becomes of the bytes of an answer. Immutable. */
public sealed interface AnswerHandling {
    /** They go to the caller as they arrive. */
    record Stream() implements AnswerHandling {}

    /** They are collected and handed over whole with the completion. */
    record Collect(int maximumBytes) implements AnswerHandling {}
}
