package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.message.ReplicaMessage.SnapshotChunk;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/** Splits snapshots into chunk messages. Stateless. */
final class SnapshotChunks {
    private SnapshotChunks() {}

    /**
     * Returns the chunk that starts at a record offset. It contains at least one record if any is left.
     *
     * @param maximumBytes limit of the estimated bytes of the records, exceeded only by a single larger record
     */
    static SnapshotChunk chunkFrom(
            ReplicaSnapshot snapshot, int offset, long term, VoterId sender, long round, int maximumBytes) {
        List<StateRecord> records = new ArrayList<>();
        int bytes = 0;
        int end = offset;
        while (end < snapshot.records().size()) {
            StateRecord record = snapshot.records().get(end);
            bytes += MessageSizes.estimatedBytes(record);
            if (!records.isEmpty() && bytes > maximumBytes) {
                break;
            }
            records.add(record);
            end++;
        }
        return new SnapshotChunk(
                term,
                sender,
                snapshot.lastIndex(),
                snapshot.lastTerm(),
                snapshot.voters(),
                offset,
                records,
                end == snapshot.records().size(),
                round);
    }
}
