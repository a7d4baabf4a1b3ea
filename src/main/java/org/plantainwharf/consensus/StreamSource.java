package org.plantainwharf.consensus;

import java.util.LinkedHashMap;
import java.util.Map;

import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.VoterId;

/**
 * Streams committed entries to learners without a disk. A request gives the index after which the stream resumes and is
 * valid for a limited time, during which newly committed entries are pushed immediately. The messages carry round 0,
 * because they belong to no heartbeat round. Owned by one replica.
 */
final class StreamSource {
    /** A request after this index asks only for a status message that shows the leader, not for entries. */
    static final long STATUS_ONLY = Long.MAX_VALUE;

    private final ReplicaState state;
    private final Map<VoterId, Subscription> subscriptions = new LinkedHashMap<>();

    /** Last index sent to a learner, and the time at which its subscription expires. Immutable. */
    private record Subscription(long sentIndex, long expiryNanos) {}

    private StreamSource(ReplicaState state) {
        this.state = state;
    }

    static StreamSource create(ReplicaState state) {
        return new StreamSource(state);
    }

    /** Answers a request with entries, the first chunk of a snapshot, or a message without entries. */
    void onRequest(VoterId learner, long afterIndex, long nowNanos, ReplicaOutput output) {
        if (afterIndex == STATUS_ONLY) {
            send(learner, state.commitIndex(), output);
            return;
        }
        if (state.log().term(Math.min(afterIndex, state.commitIndex())) == ReplicaLog.UNKNOWN_TERM) {
            subscriptions.remove(learner);
            sendChunk(learner, 0, output);
            return;
        }
        long sent = send(learner, Math.min(afterIndex, state.commitIndex()), output);
        subscriptions.put(
                learner, new Subscription(sent, nowNanos + state.options().subscriptionNanos()));
    }

    void onChunkReceived(ReplicaMessage.SnapshotAnswer answer, ReplicaOutput output) {
        if (answer.lastIndex() == state.log().snapshot().lastIndex()) {
            sendChunk(answer.sender(), answer.received(), output);
        }
    }

    /** Sends the entries committed since the last call to all subscribed learners. */
    void sendNewlyCommitted(long nowNanos, ReplicaOutput output) {
        subscriptions.values().removeIf(subscription -> nowNanos - subscription.expiryNanos() >= 0);
        subscriptions.replaceAll((learner, subscription) -> {
            boolean hasUpdates = subscription.sentIndex() < state.commitIndex()
                    && state.log().term(subscription.sentIndex()) != ReplicaLog.UNKNOWN_TERM;
            return hasUpdates
                    ? new Subscription(send(learner, subscription.sentIndex(), output), subscription.expiryNanos())
                    : subscription;
        });
    }

    private long send(VoterId learner, long afterIndex, ReplicaOutput output) {
        ReplicaMessage.AppendRequest request = new ReplicaMessage.AppendRequest(
                state.term(),
                state.self(),
                afterIndex,
                state.log().term(afterIndex),
                state.log()
                        .slice(
                                afterIndex + 1,
                                state.commitIndex(),
                                state.options().messageBytes()),
                // Not the commit index: a source that lags tells its learners that they lag too.
                state.catchUpIndex(),
                // Round 0: no heartbeat round.
                0);
        output.send(learner.host(), request);
        return afterIndex + request.entries().size();
    }

    private void sendChunk(VoterId learner, int offset, ReplicaOutput output) {
        output.send(
                learner.host(),
                SnapshotChunks.chunkFrom(
                        state.log().snapshot(),
                        offset,
                        state.term(),
                        state.self(),
                        // Round 0: no heartbeat round.
                        0,
                        state.options().messageBytes()));
    }
}
