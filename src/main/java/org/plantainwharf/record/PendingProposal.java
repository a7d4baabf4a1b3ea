package org.plantainwharf.record;

import org.plantainwharf.call.Content;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.replicated.Command;

/** The purpose of a proposal by this host that is not decided yet. Immutable. */
sealed interface PendingProposal {
    /** Reserves the single run of an order. */
    record Intent(RequestId request) implements PendingProposal {}

    /** Records the acceptance of long work. */
    record Acceptance(RequestId request) implements PendingProposal {}

    /** Records the answer of an order. The caller gets the answer even if the proposal fails. */
    record Outcome(RequestId request, int httpStatus, Content answer, int group, Command command)
            implements PendingProposal {}

    /** A proposal that is retried until it is decided. */
    sealed interface Retryable extends PendingProposal {
        /** Returns the number of the record group. */
        int group();

        /** Returns the command to propose again. */
        Command command();
    }

    /** Records the answer of accepted work. */
    record Completion(RequestId request, int group, Command command) implements Retryable {}

    /** Commits a change in the background; no call waits for it. */
    record Background(int group, Command command) implements Retryable {}

    /** Assigns work to an owner, with this host as leader of the group. */
    record Assignment(RequestId work) implements PendingProposal {}
}
