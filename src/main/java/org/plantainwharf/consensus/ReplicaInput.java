package org.plantainwharf.consensus;

import java.util.List;

import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;

/** What happens to a member of a replicated log. Immutable. */
public sealed interface ReplicaInput {
    /** A message arrived from the host that its sender names. */
    record Received(ReplicaMessage message) implements ReplicaInput {}

    /** A command shall be appended. */
    record Proposed(Command command) implements ReplicaInput {}

    /** All log writes up to this number are on disk. */
    record WriteSynced(long writeNumber) implements ReplicaInput {}

    /** A write failed. Nothing is known any more of what the disk holds. */
    record WriteFailed() implements ReplicaInput {}

    /** The state after the last committed entry that was handed out, for a snapshot. */
    record SnapshotTaken(List<StateRecord> records) implements ReplicaInput {
        /** Copies the records. */
        public SnapshotTaken {
            records = List.copyOf(records);
        }
    }

    /** A snapshot is on disk. */
    record SnapshotSynced(long lastIndex) implements ReplicaInput {}

    /** This host will stop: hand leadership over and do not seek it again. */
    record Resigned() implements ReplicaInput {}

    /** Time passed. */
    record Ticked() implements ReplicaInput {}
}
