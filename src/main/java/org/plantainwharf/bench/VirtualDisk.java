package org.plantainwharf.bench;

import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.message.ReplicaEntry;

/** Synced log and snapshot of one group on a simulated host. Not thread-safe. */
final class VirtualDisk {
    private final List<ReplicaEntry> entries = new ArrayList<>();
    private long incarnation;
    private long term;
    private String vote = "";
    private ReplicaSnapshot snapshot = ReplicaSnapshot.empty();

    private VirtualDisk(long incarnation) {
        this.incarnation = incarnation;
    }

    static VirtualDisk empty(long incarnation) {
        return new VirtualDisk(incarnation);
    }

    long incarnation() {
        return incarnation;
    }

    RecoveredGroup content() {
        return new RecoveredGroup(term, vote, snapshot, entries);
    }

    /** Erases the disk and gives it a new incarnation. */
    void reset(long nextIncarnation) {
        incarnation = nextIncarnation;
        entries.clear();
        term = 0;
        vote = "";
        snapshot = ReplicaSnapshot.empty();
    }

    /** Applies a completed write. A snapshot that the log does not match discards the whole log. */
    void sync(StorageEffect effect) {
        switch (effect) {
            case StorageEffect.WriteLog write -> {
                term = write.term();
                vote = write.vote();
                if (write.truncateFrom() > 0) {
                    entries.removeIf(entry -> entry.index() >= write.truncateFrom());
                }
                entries.addAll(write.entries());
            }
            case StorageEffect.WriteSnapshot write -> {
                boolean logMatchesSnapshot = entries.stream()
                        .anyMatch(entry -> entry.index() == write.lastIndex() && entry.term() == write.lastTerm());
                snapshot = new ReplicaSnapshot(write.lastIndex(), write.lastTerm(), write.voters(), write.records());
                entries.removeIf(entry -> !logMatchesSnapshot || entry.index() < write.firstRetainedIndex());
            }
        }
    }
}
