package org.plantainwharf.consensus;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.Query;

/** A proposal or read from this host that has no result yet. Immutable. */
sealed interface PendingRequest {
    /** Returns the request identifier, which is the same in every resend and answer. */
    String id();

    int group();

    /** Returns the message that carries this request to a leader on another host. */
    PeerMessage message();

    /** Returns the event that reports the failure of this request. */
    ReplicationEvent failureEvent(ErrorKind reason);

    /** A command to append to the group's log. */
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

    /** A read of the group's state, answered by a leader that holds a valid lease. */
    record Read(String id, int group, Query query) implements PendingRequest {
        @Override
        public PeerMessage message() {
            return new PeerMessage.QueryRequest(group, id, query);
        }

        @Override
        public ReplicationEvent failureEvent(ErrorKind reason) {
            return new ReplicationEvent.QueryFailed(id, reason);
        }
    }
}
