package org.plantainwharf.call;

/** How a call reached this host. Immutable. */
public sealed interface Origin {
    /** From a caller, whose connection waits for the answer. */
    record Caller() implements Origin {}

    /**
     * From a record group, which assigned an attempt at accepted work to this host.
     *
     * @param group the record group
     * @param attempt the attempt number that the record group assigned
     */
    record AcceptedWork(int group, int attempt) implements Origin {}
}
