package org.plantainwharf.consensus;

import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;

/** Applies entries and snapshots from the current term's leader to the local log. Owned by one replica. */
final class FollowerLog {
    private final ReplicaState state;
    private final SnapshotReceiver receiver = SnapshotReceiver.create();

    private FollowerLog(ReplicaState state) {
        this.state = state;
    }

    static FollowerLog create(ReplicaState state) {
        return new FollowerLog(state);
    }

    void append(ReplicaMessage.AppendRequest request, ReplicaOutput output) {
        ReplicaLog log = state.log();
        state.recordAnnouncedCommitIndex(request.commitIndex());
        long previous = request.previousIndex();
        // Entries up to the base index are committed, so the leader's log contains the same ones.
        if (previous >= log.baseIndex() && log.term(previous) != request.previousTerm()) {
            answer(request, false, lastPossibleMatch(previous), output);
            return;
        }
        for (ReplicaEntry entry : request.entries()) {
            if (entry.index() <= log.baseIndex()) {
                continue;
            }
            if (entry.index() <= log.lastIndex() && log.term(entry.index()) != entry.term()) {
                truncateFrom(entry.index());
            }
            if (entry.index() > log.lastIndex()) {
                state.append(entry);
            }
        }
        long match = Math.max(log.baseIndex(), previous + request.entries().size());
        state.commitUpTo(Math.min(request.commitIndex(), match));
        answer(request, true, match, output);
    }

    void receiveChunk(ReplicaMessage.SnapshotChunk chunk, ReplicaOutput output) {
        if (chunk.lastIndex() <= state.commitIndex()) {
            // Entries after the commit index may differ from the leader's, so only the commit index is acknowledged.
            state.writes()
                    .send(
                            chunk.sender().host(),
                            new ReplicaMessage.AppendAnswer(
                                    state.term(), state.self(), true, state.commitIndex(), chunk.round()),
                            output);
            return;
        }
        receiver.receive(chunk).ifPresent(snapshot -> install(snapshot, output));
        state.writes()
                .send(
                        chunk.sender().host(),
                        new ReplicaMessage.SnapshotAnswer(
                                state.term(),
                                state.self(),
                                chunk.lastIndex(),
                                receiver.receivedRecords(),
                                chunk.round()),
                        output);
    }

    private void install(ReplicaSnapshot snapshot, ReplicaOutput output) {
        state.install(snapshot, output);
        if (!state.writes().failed()) {
            output.write(new StorageEffect.WriteSnapshot(
                    state.group(),
                    snapshot.lastIndex(),
                    snapshot.lastTerm(),
                    snapshot.voters(),
                    snapshot.records(),
                    snapshot.lastIndex() + 1));
        }
    }

    private void truncateFrom(long index) {
        if (index <= state.commitIndex()) {
            throw new IllegalStateException("leader's log conflicts with committed entry " + index);
        }
        state.log().truncateFrom(index);
        state.writes().truncateFrom(index);
    }

    /**
     * Returns the last index at which both logs may match: the last one before the conflicting term, but not below the
     * commit index, because committed entries always match.
     */
    private long lastPossibleMatch(long previousIndex) {
        ReplicaLog log = state.log();
        long index = Math.min(previousIndex, log.lastIndex());
        long conflictingTerm = log.term(index);
        if (previousIndex > log.lastIndex()) {
            return Math.max(index, state.commitIndex());
        }
        while (index > state.commitIndex() && log.term(index) == conflictingTerm) {
            index--;
        }
        return Math.max(index, state.commitIndex());
    }

    private void answer(ReplicaMessage.AppendRequest request, boolean accepted, long matchIndex, ReplicaOutput output) {
        state.writes()
                .send(
                        request.sender().host(),
                        new ReplicaMessage.AppendAnswer(
                                state.term(), state.self(), accepted, matchIndex, request.round()),
                        output);
    }
}
