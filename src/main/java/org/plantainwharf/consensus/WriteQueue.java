package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;

/**
 * Queues writes of term, vote and entries, and holds back the messages that depend on them. At most one log write is in
 * flight; changes that arrive meanwhile are batched into the next one. After a failed write nothing is written or sent.
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

    /** A message to send once the log write with a number and the snapshot up to an index are synced. Immutable. */
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

    /** Returns the last index that is synced and has not been truncated since. */
    long syncedIndex() {
        return syncedIndex;
    }

    /** Returns true if no write is pending, in flight or failed, so that term and vote are synced. */
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

    /** Records that a snapshot from the leader is being written. Entries up to its index no longer need a write. */
    void install(long index) {
        pendingEntries.removeIf(entry -> entry.index() <= index);
        installedSnapshotIndex = index;
    }

    /** Records that a snapshot up to this index is synced. */
    void snapshotSynced(long index, ReplicaOutput output) {
        syncedIndex = Math.max(syncedIndex, index);
        writtenIndex = Math.max(writtenIndex, index);
        syncedSnapshotIndex = Math.max(syncedSnapshotIndex, index);
        releaseMessages(output);
    }

    /** Sends a message once all changes made so far are synced. */
    void send(HostId host, ReplicaMessage message, ReplicaOutput output) {
        if (failed) {
            return;
        }
        heldMessages.add(new HeldMessage(
                unwritten ? lastWriteNumber + 1 : lastWriteNumber, installedSnapshotIndex, host, message));
        releaseMessages(output);
    }

    /** Starts the next write unless there is nothing to write or a write is in flight. */
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

    /** Sends the messages whose writes are synced. Drops those of an older term, which receivers would ignore. */
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
