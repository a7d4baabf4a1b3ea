package org.plantainwharf.consensus;

import java.util.LinkedHashMap;
import java.util.Map;

import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.VoterId;

/**
 * Sends committed entries to learners without disk. A request names the index to go on after and is valid for a
 * time; until then every newly committed entry is sent at once. Owned by one replica.
 */
final class StreamSource {
    /** A request after this index asks only for signs of life of the leader, not for entries. */
    static final long STATUS_ONLY = Long.MAX_VALUE;

    private final ReplicaState state;
    private final Map<VoterId, Subscription> subscriptions = new LinkedHashMap<>();

    /** One learner: last index sent, and until when to send. */
    private record Subscription(long sentIndex, long expiryNanos) {}

    private StreamSource(ReplicaState state) {
        this.state = state;
    }

    static StreamSource create(ReplicaState state) {
        return new StreamSource(state);
    }

    /** Answers a request with entries, with the first chunk of a snapshot, or with a sign of life. */
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

    /** Sends what became committed since the last call. */
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
                state.commitIndex(),
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
                        0,
                        state.options().messageBytes()));
    }
}
