package org.plantainwharf.consensus;

import java.util.List;

import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/**
 * State after a committed entry. Immutable.
 *
 * @param lastIndex index of that entry, 0 for the empty state
 * @param lastTerm its term
 * @param voters voters after it
 */
public record ReplicaSnapshot(long lastIndex, long lastTerm, List<VoterId> voters, List<StateRecord> records) {
    /** Copies the lists. */
    public ReplicaSnapshot {
        voters = List.copyOf(voters);
        records = List.copyOf(records);
    }

    /** Returns the state before the first entry. */
    public static ReplicaSnapshot empty() {
        return new ReplicaSnapshot(0, 0, List.of(), List.of());
    }
}
