package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.message.ReplicaMessage.SnapshotChunk;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/** Puts the chunks of one snapshot together; a chunk of another snapshot starts anew. Owned by one member. */
final class SnapshotReceiver {
    private final List<StateRecord> records = new ArrayList<>();
    private long lastIndex;
    private @Nullable VoterId sender;
    private long term;

    private SnapshotReceiver() {}

    static SnapshotReceiver create() {
        return new SnapshotReceiver();
    }

    /** Returns the number of records received in order. */
    int receivedRecords() {
        return records.size();
    }

    /** Takes a chunk; one that does not continue is left out. Returns the snapshot when it is whole. */
    Optional<ReplicaSnapshot> receive(SnapshotChunk chunk) {
        // Two members may list the records of equal state in another order, so chunks of two senders never mix.
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
