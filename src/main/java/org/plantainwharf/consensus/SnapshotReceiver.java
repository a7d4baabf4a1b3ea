package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.message.ReplicaMessage.SnapshotChunk;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/** Assembles a snapshot from its chunks. A chunk of another snapshot restarts the assembly. Owned by one member. */
final class SnapshotReceiver {
    private final List<StateRecord> records = new ArrayList<>();
    private long lastIndex;
    private @Nullable VoterId sender;
    private long term;

    private SnapshotReceiver() {}

    static SnapshotReceiver create() {
        return new SnapshotReceiver();
    }

    /** Returns the number of consecutive records received so far. */
    int receivedRecords() {
        return records.size();
    }

    /** Adds a chunk, unless it does not start at the next record. Returns the snapshot once it is complete. */
    Optional<ReplicaSnapshot> receive(SnapshotChunk chunk) {
        // Two members may list the records of the same state in different orders, so chunks of two senders are never
        // combined.
        if (chunk.lastIndex() != lastIndex
                || chunk.term() != term
                || !chunk.sender().equals(sender)) {
            records.clear();
            lastIndex = chunk.lastIndex();
            term = chunk.term();
            sender = chunk.sender();
        }
        if (chunk.offset() != records.size()) {
            return Optional.empty();
        }
        records.addAll(chunk.records());
        if (!chunk.last()) {
            return Optional.empty();
        }
        ReplicaSnapshot snapshot =
                new ReplicaSnapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.voters(), List.copyOf(records));
        clear();
        return Optional.of(snapshot);
    }

    void clear() {
        records.clear();
        lastIndex = 0;
    }
}
