package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;

/**
 * Term, vote and entries on their way to disk, with the messages that wait for them. At most one log write is under
 * way; what arrives meanwhile goes out with the next one. After a failed write nothing is written or sent any more.
 * Owned by one replica.
 */
final class WriteQueue {
    private final int group;
    private final List<ReplicaEntry> pendingEntries = new ArrayList<>();
    private final List<HeldMessage> heldMessages = new ArrayList<>();
    private long term;
    private String vote;
    private long truncateFrom;
    private boolean unwritten;
    private boolean writeInFlight;
    private boolean failed;
    private long lastWriteNumber;
    private long writtenIndex;
    private long syncedWriteNumber;
    private long syncedIndex;
    private long installedSnapshotIndex;
    private long syncedSnapshotIndex;

    /** A message that leaves once the log write with a number and the snapshot up to an index are synced. */
    private record HeldMessage(long writeNumber, long snapshotIndex, HostId host, ReplicaMessage message) {}

    private WriteQueue(int group, RecoveredGroup recovered, long lastIndex) {
        this.group = group;
        this.term = recovered.term();
        this.vote = recovered.vote();
        this.writtenIndex = lastIndex;
        this.syncedIndex = lastIndex;
    }

    static WriteQueue recover(int group, RecoveredGroup recovered, long lastIndex) {
        return new WriteQueue(group, recovered, lastIndex);
    }

    long term() {
        return term;
    }

    String vote() {
        return vote;
    }

    /** Returns the last index on disk that the present log still holds. */
    long syncedIndex() {
        return syncedIndex;
    }

    /** Says whether term and vote are on disk. */
    boolean termAndVoteSynced() {
        return !unwritten && !writeInFlight && !failed;
    }

    boolean failed() {
        return failed;
    }

    void setTermAndVote(long newTerm, String newVote) {
        term = newTerm;
        vote = newVote;
        unwritten = true;
    }

    void append(ReplicaEntry entry) {
        pendingEntries.add(entry);
        unwritten = true;
    }

    void truncateFrom(long index) {
        pendingEntries.removeIf(entry -> entry.index() >= index);
        truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
        writtenIndex = Math.min(writtenIndex, index - 1);
        syncedIndex = Math.min(syncedIndex, index - 1);
        unwritten = true;
    }

    /** Records that a snapshot of the leader is being written. Entries up to its index need no write any more. */
    void install(long index) {
        pendingEntries.removeIf(entry -> entry.index() <= index);
        installedSnapshotIndex = index;
    }

    /** Records that a snapshot up to this index is on disk. */
    void snapshotSynced(long index, ReplicaOutput output) {
        syncedIndex = Math.max(syncedIndex, index);
        writtenIndex = Math.max(writtenIndex, index);
        syncedSnapshotIndex = Math.max(syncedSnapshotIndex, index);
        releaseMessages(output);
    }

    /** Sends a message once everything changed so far is on disk. */
    void send(HostId host, ReplicaMessage message, ReplicaOutput output) {
        if (failed) {
            return;
        }
        heldMessages.add(new HeldMessage(
                unwritten ? lastWriteNumber + 1 : lastWriteNumber, installedSnapshotIndex, host, message));
        releaseMessages(output);
    }

    /** Starts the next write unless one is under way. */
    void flush(ReplicaOutput output) {
        if (!unwritten || writeInFlight || failed) {
            return;
        }
        lastWriteNumber++;
        output.write(new StorageEffect.WriteLog(group, lastWriteNumber, term, vote, truncateFrom, pendingEntries));
        writtenIndex = pendingEntries.isEmpty()
                ? writtenIndex
                : pendingEntries.getLast().index();
        pendingEntries.clear();
        truncateFrom = 0;
        unwritten = false;
        writeInFlight = true;
    }

    void synced(long writeNumber, ReplicaOutput output) {
        if (failed || writeNumber < lastWriteNumber) {
            return;
        }
        writeInFlight = false;
        syncedWriteNumber = writeNumber;
        syncedIndex = Math.max(syncedIndex, writtenIndex);
        releaseMessages(output);
    }

    /** Sends the messages that wait for nothing more. Those of an older term would be ignored by their receivers. */
    private void releaseMessages(ReplicaOutput output) {
        heldMessages.removeIf(next -> {
            boolean released = next.writeNumber() <= syncedWriteNumber && next.snapshotIndex() <= syncedSnapshotIndex;
            if (released && next.message().term() >= term) {
                output.send(next.host(), next.message());
            }
            return released;
        });
    }

    void fail() {
        failed = true;
        heldMessages.clear();
        pendingEntries.clear();
    }
}
