package org.plantainwharf.message;

import java.util.List;

import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/** A message of the replicated log between members of a group. Immutable. */
public sealed interface ReplicaMessage {
    /** Returns the sender's term. */
    long term();

    /** Returns the sender's identity. */
    VoterId sender();

    /** Asks whether a vote would be granted, without incrementing the term. */
    record PreVoteRequest(long term, VoterId sender, long lastIndex, long lastTerm) implements ReplicaMessage {}

    /** Answers a pre-vote request for the proposed term. */
    record PreVoteAnswer(long term, VoterId sender, boolean granted) implements ReplicaMessage {}

    /**
     * Requests a vote.
     *
     * @param transfer whether the leader of the previous term gave up its lease and asked the sender to take over; only
     *     then may a voter grant the vote although it heard from a leader recently
     */
    record VoteRequest(long term, VoterId sender, long lastIndex, long lastTerm, boolean transfer)
            implements ReplicaMessage {}

    /** Answers a vote request. Sent only after the vote is synced to disk. */
    record VoteAnswer(long term, VoterId sender, boolean granted) implements ReplicaMessage {}

    /**
     * Appends entries. Without entries it only confirms leadership.
     *
     * @param round number of the heartbeat round, returned in the answer; the lease starts at the round's send time
     */
    record AppendRequest(
            long term,
            VoterId sender,
            long previousIndex,
            long previousTerm,
            List<ReplicaEntry> entries,
            long commitIndex,
            long round)
            implements ReplicaMessage {
        /** Copies the entries. */
        public AppendRequest {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answers an append request.
     *
     * @param matchIndex last index at which the log matches the leader's and is synced; after a rejection, the index
     *     from which the leader should continue
     */
    record AppendAnswer(long term, VoterId sender, boolean accepted, long matchIndex, long round)
            implements ReplicaMessage {}

    /**
     * Sends one chunk of a snapshot.
     *
     * @param lastIndex last index that the snapshot contains
     * @param lastTerm term of the entry at that index
     * @param offset number of records in the preceding chunks
     * @param last whether this is the last chunk
     * @param round number of the heartbeat round, returned in the answer
     */
    record SnapshotChunk(
            long term,
            VoterId sender,
            long lastIndex,
            long lastTerm,
            List<VoterId> voters,
            int offset,
            List<StateRecord> records,
            boolean last,
            long round)
            implements ReplicaMessage {
        /** Copies the lists. */
        public SnapshotChunk {
            voters = List.copyOf(voters);
            records = List.copyOf(records);
        }
    }

    /** Answers a snapshot chunk with the number of records received so far. */
    record SnapshotAnswer(long term, VoterId sender, long lastIndex, int received, long round)
            implements ReplicaMessage {}

    /** Asks the most up-to-date voter to take over. Sent by a leader that gave up its lease. */
    record LeadershipTransfer(long term, VoterId sender) implements ReplicaMessage {}

    /** Requests the entries after a learner's last applied index. */
    record StreamRequest(long term, VoterId sender, long afterIndex) implements ReplicaMessage {}
}
