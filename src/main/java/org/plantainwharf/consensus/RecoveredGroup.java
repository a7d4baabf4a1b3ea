package org.plantainwharf.consensus;

import java.util.List;

import org.plantainwharf.message.ReplicaEntry;

/**
 * What the disk holds of one group. Entries are contiguous; the first is at most one after the snapshot's last index,
 * and an entry at that index has the snapshot's term. Immutable.
 *
 * @param vote identity voted for in the term, or empty text
 */
public record RecoveredGroup(long term, String vote, ReplicaSnapshot snapshot, List<ReplicaEntry> entries) {
    /** Copies the entries. */
    public RecoveredGroup {
        entries = List.copyOf(entries);
    }

    /** Returns the content of an empty disk. */
    public static RecoveredGroup empty() {
        return new RecoveredGroup(0, "", ReplicaSnapshot.empty(), List.of());
    }
}
