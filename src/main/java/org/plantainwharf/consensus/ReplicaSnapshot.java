package org.plantainwharf.consensus;

import java.util.List;

import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/**
 * State after a committed entry. Immutable.
 *
 * @param lastIndex index of the entry, 0 for the empty state
 * @param lastTerm term of the entry
 * @param voters voters after the entry
 * @param records all records of the state machine after the entry
 */
public record ReplicaSnapshot(long lastIndex, long lastTerm, List<VoterId> voters, List<StateRecord> records) {
    /** Makes immutable copies of the lists. */
    public ReplicaSnapshot {
        voters = List.copyOf(voters);
        records = List.copyOf(records);
    }

    /** Returns the state before the first entry. */
    public static ReplicaSnapshot empty() {
        return new ReplicaSnapshot(0, 0, List.of(), List.of());
    }
}
