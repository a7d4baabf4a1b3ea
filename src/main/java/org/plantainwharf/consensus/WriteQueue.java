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
    private final List<ReplicaEntry> waiting = new ArrayList<>();
    private final List<Held> held = new ArrayList<>();
    private long term;
    private String vote;
    private long truncateFrom;
    private boolean dirty;
    private boolean underWay;
    private boolean failed;
    private long number;
    private long writtenIndex;
    private long syncedNumber;
    private long syncedIndex;
    private long installedSnapshot;
    private long syncedSnapshot;

    /** A message that leaves once the log write with a number and the snapshot up to an index are synced. */
    private record Held(long number, long snapshotIndex, HostId host, ReplicaMessage message) {}

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
    boolean settled() {
        return !dirty && !underWay && !failed;
    }

    boolean failed() {
        return failed;
    }

    void enter(long newTerm, String newVote) {
        term = newTerm;
        vote = newVote;
        dirty = true;
    }

    void append(ReplicaEntry entry) {
        waiting.add(entry);
        dirty = true;
    }

    void truncateFrom(long index) {
        waiting.removeIf(entry -> entry.index() >= index);
        truncateFrom = truncateFrom == 0 ? index : Math.min(truncateFrom, index);
        writtenIndex = Math.min(writtenIndex, index - 1);
        syncedIndex = Math.min(syncedIndex, index - 1);
        dirty = true;
    }

    /** Records that a snapshot of the leader is being written. Entries up to its index need no write any more. */
    void install(long index) {
        waiting.removeIf(entry -> entry.index() <= index);
        installedSnapshot = index;
    }

    /** Records that a snapshot up to this index is on disk. */
    void snapshotSynced(long index, ReplicaOutput output) {
        syncedIndex = Math.max(syncedIndex, index);
        writtenIndex = Math.max(writtenIndex, index);
        syncedSnapshot = Math.max(syncedSnapshot, index);
        release(output);
    }

    /** Sends a message once everything changed so far is on disk. */
    void send(HostId host, ReplicaMessage message, ReplicaOutput output) {
        if (failed) {
            return;
        }
        held.add(new Held(dirty ? number + 1 : number, installedSnapshot, host, message));
        release(output);
    }

    /** Starts the next write unless one is under way. */
    void flush(ReplicaOutput output) {
        if (!dirty || underWay || failed) {
            return;
        }
        number++;
        output.write(new StorageEffect.WriteLog(group, number, term, vote, truncateFrom, waiting));
        writtenIndex = waiting.isEmpty() ? writtenIndex : waiting.getLast().index();
        waiting.clear();
        truncateFrom = 0;
        dirty = false;
        underWay = true;
    }

    void synced(long writeNumber, ReplicaOutput output) {
        if (failed || writeNumber < number) {
            return;
        }
        underWay = false;
        syncedNumber = writeNumber;
        syncedIndex = Math.max(syncedIndex, writtenIndex);
        release(output);
    }

    /** Sends the messages that wait for nothing more. Those of an older term would be ignored by their receivers. */
    private void release(ReplicaOutput output) {
        held.removeIf(next -> {
            boolean released = next.number() <= syncedNumber && next.snapshotIndex() <= syncedSnapshot;
            if (released && next.message().term() >= term) {
                output.send(next.host(), next.message());
            }
            return released;
        });
    }

    void fail() {
        failed = true;
        held.clear();
        waiting.clear();
    }
}
