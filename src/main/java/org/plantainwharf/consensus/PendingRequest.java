package org.plantainwharf.consensus;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.Query;

/** A proposal or a read of this host that waits for its result. Immutable. */
sealed interface PendingRequest {
    /** Returns the identifier, equal in every message about it. */
    String id();

    /** Returns the group. */
    int group();

    /** Returns the message to the leader. */
    PeerMessage message();

    /** Returns the event that ends it without a result. */
    ReplicationEvent failureEvent(ErrorKind reason);

    /** A command to commit. */
    record Proposal(String id, int group, Command command) implements PendingRequest {
        @Override
        public PeerMessage message() {
            return new PeerMessage.Propose(group, id, command);
        }

        @Override
        public ReplicationEvent failureEvent(ErrorKind reason) {
            return new ReplicationEvent.ProposalFailed(id, reason);
        }
    }

    /** A read. */
    record Read(String id, int group, Query query) implements PendingRequest {
        @Override
        public PeerMessage message() {
            return new PeerMessage.Ask(group, id, query);
        }

        @Override
        public ReplicationEvent failureEvent(ErrorKind reason) {
            return new ReplicationEvent.QueryFailed(id, reason);
        }
    }
}
