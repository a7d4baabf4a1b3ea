package org.plantainwharf.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/**
 * Content of one group recovered from the disk. Entries are contiguous. The first entry's index is at most one greater
 * than the snapshot's last index. An entry at the snapshot's last index has the snapshot's last term. Immutable.
 *
 * @param term the newest term stored
 * @param vote identity that received this voter's vote in the term, as {@link VoterId#text}; empty for none
 * @param snapshot the newest snapshot, empty for none
 * @param entries log entries after the snapshot and those retained before its end
 */
public record RecoveredGroup(long term, String vote, ReplicaSnapshot snapshot, List<ReplicaEntry> entries) {
    /** Makes an immutable copy of the entries. */
    public RecoveredGroup {
        entries = List.copyOf(entries);
    }

    /** Returns every voter in the snapshot and in the log, including voters of uncommitted changes. */
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
