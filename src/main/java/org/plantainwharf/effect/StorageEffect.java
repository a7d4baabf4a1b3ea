package org.plantainwharf.effect;

import java.util.List;

import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/** What to write. Writes of one group are done in order. Immutable. */
public sealed interface StorageEffect extends Effect {
    /** The group. */
    int group();

    /**
     * Writes and syncs term, vote and entries. Entries from {@code truncateFrom} on are dropped first.
     *
     * @param writeNumber returned once synced
     * @param vote identity voted for in this term, or empty text
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
     * Writes and syncs a snapshot, then drops entries before {@code keepFrom} from the log.
     *
     * @param keepFrom first index to keep; a tail before the snapshot's end spares slow followers the snapshot
     */
    record WriteSnapshot(
            int group, long lastIndex, long lastTerm, List<VoterId> voters, List<StateRecord> records, long keepFrom)
            implements StorageEffect {
        /** Copies the lists. */
        public WriteSnapshot {
            voters = List.copyOf(voters);
            records = List.copyOf(records);
        }
    }
}
