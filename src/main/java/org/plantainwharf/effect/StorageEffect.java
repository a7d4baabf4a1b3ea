package org.plantainwharf.effect;

import java.util.List;

import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/** Writes to disk. Writes of one group are carried out in order. Immutable. */
public sealed interface StorageEffect extends Effect {
    /** Returns the number of the replicated log's group. */
    int group();

    /**
     * Writes and syncs term, vote and entries, after dropping entries from {@code truncateFrom} on.
     *
     * @param writeNumber number reported by {@code WriteSynced} once the write is synced
     * @param vote identity voted for in this term, empty for none
     * @param truncateFrom first index to drop, 0 for none
     */
    record WriteLog(int group, long writeNumber, long term, String vote, long truncateFrom, List<ReplicaEntry> entries)
            implements StorageEffect {
        /** Copies the entries. */
        public WriteLog {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Writes and syncs a snapshot, then drops the log entries before the first index to keep.
     *
     * @param firstRetainedIndex first index to keep; keeping entries that the snapshot contains lets slow followers catch up from
     *     the log instead of from the snapshot
     */
    record WriteSnapshot(
            int group,
            long lastIndex,
            long lastTerm,
            List<VoterId> voters,
            List<StateRecord> records,
            long firstRetainedIndex)
            implements StorageEffect {
        /** Copies the lists. */
        public WriteSnapshot {
            voters = List.copyOf(voters);
            records = List.copyOf(records);
        }
    }
}
