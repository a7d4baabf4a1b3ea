package org.plantainwharf.call;

/** Where a call came from. Immutable. */
public sealed interface Origin {
    /** A caller's connection waits for the answer. */
    record Caller() implements Origin {}

    /**
     * This host owns an attempt at accepted work.
     *
     * @param group the record group
     * @param attempt the attempt number that the record group assigned
     */
    record AcceptedWork(int group, int attempt) implements Origin {}
}
