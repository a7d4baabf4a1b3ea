package org.plantainwharf.consensus;

import java.util.List;
import java.util.OptionalLong;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;

/** An input to a member of a replicated log. Immutable. */
public sealed interface ReplicaInput {
    /**
     * A message arrived. The caller has verified that it came from the host of its sender.
     *
     * @param sentAfterNanos a time on this host's monotonic clock after which a message without large content was sent,
     *     if one is known
     */
    record Received(ReplicaMessage message, OptionalLong sentAfterNanos) implements ReplicaInput {
        /** A message of which it is not known when it was sent. */
        public Received(ReplicaMessage message) {
            this(message, OptionalLong.empty());
        }
    }

    /** A part of a large message of a host arrived. */
    record ContentProgressed(HostId host) implements ReplicaInput {}

    /** A command was proposed for the log. */
    record Proposed(Command command) implements ReplicaInput {}

    /** All log writes up to this number are synced to disk. */
    record WriteSynced(long writeNumber) implements ReplicaInput {}

    /** A write failed. The content of the disk is unknown from now on. */
    record WriteFailed() implements ReplicaInput {}

    /** The state machine's records after the last delivered entry, to be stored as a snapshot. */
    record SnapshotTaken(List<StateRecord> records) implements ReplicaInput {
        /** Makes an immutable copy of the records. */
        public SnapshotTaken {
            records = List.copyOf(records);
        }
    }

    /** The snapshot up to this index is synced to disk. */
    record SnapshotSynced(long lastIndex) implements ReplicaInput {}

    /** This host is about to stop: it transfers leadership and does not stand for election again. */
    record Resigned() implements ReplicaInput {}

    /** Periodic timer tick. */
    record Ticked() implements ReplicaInput {}
}
