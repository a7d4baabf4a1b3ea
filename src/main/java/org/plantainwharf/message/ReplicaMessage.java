package org.plantainwharf.message;

import java.util.List;

import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/** A message of the replicated log, from one member of a group to another. Immutable. */
public sealed interface ReplicaMessage {
    /** The sender's term. */
    long term();

    /** The sender's identity. */
    VoterId sender();

    /** Asks whether a vote would be granted, without raising the term. */
    record PreVoteRequest(long term, VoterId sender, long lastIndex, long lastTerm) implements ReplicaMessage {}

    /** Answers a pre-vote request for the proposed term. */
    record PreVoteAnswer(long term, VoterId sender, boolean granted) implements ReplicaMessage {}

    /**
     * Asks for a vote.
     *
     * @param transfer whether the leader of the term before gave up its lease and asked the sender to take over; only
     *     then is the vote granted although a leader was heard recently
     */
    record VoteRequest(long term, VoterId sender, long lastIndex, long lastTerm, boolean transfer)
            implements ReplicaMessage {}

    /** Answers a vote request; sent after the vote is synced. */
    record VoteAnswer(long term, VoterId sender, boolean granted) implements ReplicaMessage {}

    /**
     * Appends entries, or confirms leadership when there are none.
     *
     * @param round number of the heartbeat round, returned in the answer; the lease counts from its send time
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
     * Answers an append.
     *
     * @param matchIndex last index known to be equal and synced; on a refusal, where the leader should go on from
     */
    record AppendAnswer(long term, VoterId sender, boolean accepted, long matchIndex, long round)
            implements ReplicaMessage {}

    /**
     * Sends one chunk of a snapshot.
     *
     * @param lastIndex last index that the snapshot contains
     * @param lastTerm term of that index
     * @param offset number of records in the chunks before
     * @param last whether this is the last chunk
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

    /** Answers a chunk with the number of records received so far. */
    record SnapshotAnswer(long term, VoterId sender, long lastIndex, int received, long round)
            implements ReplicaMessage {}

    /** A leader that gave up its lease asks the most caught-up voter to take over. */
    record LeadershipTransfer(long term, VoterId sender) implements ReplicaMessage {}

    /** A learner asks for entries after its last applied index. */
    record StreamRequest(long term, VoterId sender, long afterIndex) implements ReplicaMessage {}
}
