package org.plantainwharf.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

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

    /** Returns every voter that the content names, also those of changes that were never committed. */
    public Set<VoterId> voters() {
        Set<VoterId> voters = new HashSet<>(snapshot.voters());
        for (ReplicaEntry entry : entries) {
            if (entry.command() instanceof Command.ChangeVoters change) {
                voters.addAll(change.voters());
            }
        }
        return voters;
    }

    /** Returns the content of an empty disk. */
    public static RecoveredGroup empty() {
        return new RecoveredGroup(0, "", ReplicaSnapshot.empty(), List.of());
    }
}
