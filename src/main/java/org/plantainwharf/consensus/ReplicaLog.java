package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/**
 * The log entries that a replica keeps in memory, and its newest snapshot. Entries are contiguous and start after the
 * base index; of the base entry only index and term are known. Owned by one replica.
 */
final class ReplicaLog {
    /** Returned as the term of an index that is not in this log. */
    static final long UNKNOWN_TERM = -1;

    private final List<ReplicaEntry> entries = new ArrayList<>();
    /** Sum of the estimated bytes of all entries appended up to and including the entry at the same position. */
    private final List<Long> endOffsets = new ArrayList<>();

    private final List<VoterChange> voterChanges = new ArrayList<>();
    private ReplicaSnapshot snapshot;
    private long baseIndex;
    private long baseTerm;
    private long baseOffset;
    private long snapshotOffset;
    private long snapshotBytes;

    /** The voters from an index on. Immutable. */
    private record VoterChange(long index, Set<VoterId> voters) {}

    private ReplicaLog(ReplicaSnapshot snapshot) {
        this.snapshot = snapshot;
        this.baseIndex = snapshot.lastIndex();
        this.baseTerm = snapshot.lastTerm();
        this.snapshotBytes = MessageSizes.estimatedBytes(snapshot);
        if (snapshot.lastIndex() > 0) {
            voterChanges.add(new VoterChange(snapshot.lastIndex(), Set.copyOf(snapshot.voters())));
        }
    }

    /** Returns the log with the content recovered from a disk. */
    static ReplicaLog recover(RecoveredGroup recovered) {
        ReplicaLog log = new ReplicaLog(recovered.snapshot());
        List<ReplicaEntry> remaining = recovered.entries();
        if (!remaining.isEmpty() && remaining.getFirst().index() <= log.baseIndex) {
            log.baseIndex = remaining.getFirst().index();
            log.baseTerm = remaining.getFirst().term();
            remaining = remaining.subList(1, remaining.size());
        }
        remaining.forEach(log::append);
        log.snapshotOffset = log.offsetAt(log.snapshot.lastIndex());
        return log;
    }

    ReplicaSnapshot snapshot() {
        return snapshot;
    }

    /** Returns the index before the first entry in memory. All entries up to it are committed. */
    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.getLast().term();
    }

    /** Returns the term of the entry at an index, or {@link #UNKNOWN_TERM}. */
    long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index > baseIndex && index <= lastIndex() ? entry(index).term() : UNKNOWN_TERM;
    }

    ReplicaEntry entry(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /**
     * Returns the entries from one index to another, both inclusive, limited to an estimated size. Contains at least
     * one entry unless the range is empty.
     */
    List<ReplicaEntry> slice(long from, long to, int maximumBytes) {
        List<ReplicaEntry> slice = new ArrayList<>();
        int bytes = 0;
        for (long index = from; index <= to; index++) {
            ReplicaEntry entry = entry(index);
            bytes += MessageSizes.estimatedBytes(entry.command());
            if (!slice.isEmpty() && bytes > maximumBytes) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    /** Returns the estimated bytes of the entries after an index that are in memory. */
    long bytesAfter(long index) {
        return offsetAt(lastIndex()) - offsetAt(index);
    }

    /** Returns whether the entries from the newest snapshot up to an index are so large that a snapshot is due. */
    boolean exceedsSnapshotSize(long index, LogBounds bounds) {
        return offsetAt(index) - snapshotOffset >= Math.max(bounds.snapshotBytes(), snapshotBytes);
    }

    /** Returns the first index to keep in memory when a snapshot up to an index is taken. */
    long firstRetainedIndex(long snapshotIndex, LogBounds bounds) {
        long first = snapshotIndex + 1;
        while (first > baseIndex + 1
                && snapshotIndex - first + 1 < bounds.retainedEntries()
                && offsetAt(snapshotIndex) - offsetAt(first - 2) <= bounds.retainedBytes()) {
            first--;
        }
        return first;
    }

    /** Returns the sum of the estimated bytes up to and including an index, or up to the base index if that is later. */
    private long offsetAt(long index) {
        return index <= baseIndex ? baseOffset : endOffsets.get((int) (index - baseIndex - 1));
    }

    void append(ReplicaEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException("cannot append entry " + entry.index() + " after entry " + lastIndex()
                    + ": indexes are consecutive");
        }
        endOffsets.add(offsetAt(lastIndex()) + MessageSizes.estimatedBytes(entry.command()));
        entries.add(entry);
        if (entry.command() instanceof Command.ChangeVoters change && entry.index() > snapshot.lastIndex()) {
            voterChanges.add(new VoterChange(entry.index(), change.voters()));
        }
    }

    /** Removes the entries from an index on. */
    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        endOffsets.subList(entries.size(), endOffsets.size()).clear();
        voterChanges.removeIf(change -> change.index() >= index);
    }

    /** Sets a snapshot of applied entries as the newest one and removes the entries before {@code keepFrom}. */
    void compact(ReplicaSnapshot newest, long keepFrom) {
        long newBase = Math.max(baseIndex, keepFrom - 1);
        long newBaseTerm = term(newBase);
        snapshotOffset = offsetAt(newest.lastIndex());
        dropThrough(newBase);
        baseTerm = newBaseTerm;
        replaceSnapshot(newest);
    }

    /**
     * Replaces the log up to the last index of a snapshot received from the leader. Later entries are kept only if the
     * log has the snapshot's term at that index.
     */
    void install(ReplicaSnapshot installed) {
        if (term(installed.lastIndex()) == installed.lastTerm()) {
            dropThrough(installed.lastIndex());
        } else {
            baseOffset = offsetAt(lastIndex());
            entries.clear();
            endOffsets.clear();
            voterChanges.clear();
            baseIndex = installed.lastIndex();
        }
        snapshotOffset = baseOffset;
        baseTerm = installed.lastTerm();
        replaceSnapshot(installed);
    }

    /** Returns the voters at a committed index. */
    List<VoterId> votersAt(long index) {
        Set<VoterId> voters = Set.of();
        for (VoterChange change : voterChanges) {
            if (change.index() <= index) {
                voters = change.voters();
            }
        }
        return List.copyOf(voters);
    }

    /** Returns the voter configuration in effect, given the last index known to be committed. */
    VoterConfiguration configuration(long commitIndex) {
        if (voterChanges.isEmpty()) {
            return VoterConfiguration.none();
        }
        VoterChange newest = voterChanges.getLast();
        Set<VoterId> previous = voterChanges.size() > 1 && newest.index() > commitIndex
                ? voterChanges.get(voterChanges.size() - 2).voters()
                : Set.of();
        return new VoterConfiguration(newest.voters(), previous, newest.index());
    }

    /** Returns true if the newest change is followed by a confirming entry with the same voters, or needs none. */
    boolean newestChangeConfirmed() {
        return voterChanges.size() < 2
                || voterChanges
                        .getLast()
                        .voters()
                        .equals(voterChanges.get(voterChanges.size() - 2).voters());
    }

    /** Returns the identities that the newest change added; empty if the change before it is no longer known. */
    Set<VoterId> addedByNewestChange() {
        for (VoterChange change : voterChanges.reversed()) {
            if (!change.voters().equals(voterChanges.getLast().voters())) {
                Set<VoterId> added = new HashSet<>(voterChanges.getLast().voters());
                added.removeAll(change.voters());
                return added;
            }
        }
        return Set.of();
    }

    private void dropThrough(long newBase) {
        baseOffset = offsetAt(newBase);
        entries.subList(0, (int) (newBase - baseIndex)).clear();
        endOffsets.subList(0, (int) (newBase - baseIndex)).clear();
        baseIndex = newBase;
    }

    private void replaceSnapshot(ReplicaSnapshot next) {
        snapshot = next;
        snapshotBytes = MessageSizes.estimatedBytes(next);
        // Keeps the newest change within the snapshot, its confirming entry and the change before them: the difference
        // gives the added voter.
        while (voterChanges.size() > 3 && voterChanges.get(3).index() <= next.lastIndex()) {
            voterChanges.removeFirst();
        }
        if (voterChanges.isEmpty()) {
            voterChanges.add(new VoterChange(next.lastIndex(), Set.copyOf(next.voters())));
        }
    }
}
