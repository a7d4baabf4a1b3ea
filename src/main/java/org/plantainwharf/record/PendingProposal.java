package org.plantainwharf.record;

import org.plantainwharf.call.Content;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.replicated.Command;

/** What a proposal of this host is for, until it is decided. Immutable. */
sealed interface PendingProposal {
    /** The single run of an order is being reserved. */
    record Intent(RequestId request) implements PendingProposal {}

    /** The acceptance of long work is being recorded. */
    record Acceptance(RequestId request) implements PendingProposal {}

    /** The answer of an order is being recorded; the caller gets it either way. */
    record Outcome(RequestId request, int httpStatus, Content answer, int group, Command command)
            implements PendingProposal {}

    /** A proposal that is made again until it is decided. */
    sealed interface Retryable extends PendingProposal {
        /** The record group. */
        int group();

        /** The command to propose again. */
        Command command();
    }

    /** The answer of accepted work is being recorded. */
    record Completion(RequestId request, int group, Command command) implements Retryable {}

    /** A change that nobody waits for. */
    record Background(int group, Command command) implements Retryable {}

    /** Work is being given to an owner by this host as leader. */
    record Assignment(RequestId work) implements PendingProposal {}
}
