package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/**
 * Streams committed entries to learners without a disk. A request gives the index after which the stream resumes and is
 * valid for a limited time, during which newly committed entries are pushed immediately. The messages carry round 0,
 * because they belong to no heartbeat round. Owned by one replica.
 *
 * <p>A learner may be behind a slow link. After a message with a large entry nothing is pushed until the learner confirms
 * it, and a renewed request before that gets the same entries again, so that a transfer under way is continued and not
 * replaced. Documents that a later committed one in the same message supersedes are left out: applying the last one gives
 * the same state.
 */
final class StreamSource {
    /** A request after this index asks only for a status message that shows the leader, not for entries. */
    static final long STATUS_ONLY = Long.MAX_VALUE;

    private final ReplicaState state;
    private final Map<VoterId, Subscription> subscriptions = new LinkedHashMap<>();

    /**
     * Last index sent to a learner, whether the learner must confirm it before more is sent, and the time at which the
     * subscription expires. Immutable.
     */
    private record Subscription(long sentIndex, boolean awaitsConfirmation, long expiryNanos) {}

    private StreamSource(ReplicaState state) {
        this.state = state;
    }

    static StreamSource create(ReplicaState state) {
        return new StreamSource(state);
    }

    /** Answers a request with entries, the first chunk of a snapshot, or a message without entries. */
    void onRequest(VoterId learner, long afterIndex, long nowNanos, ReplicaOutput output) {
        if (afterIndex == STATUS_ONLY) {
            send(learner, state.commitIndex(), state.commitIndex(), output);
            return;
        }
        if (state.log().term(Math.min(afterIndex, state.commitIndex())) == ReplicaLog.UNKNOWN_TERM) {
            subscriptions.remove(learner);
            sendChunk(learner, 0, output);
            return;
        }
        long after = Math.min(afterIndex, state.commitIndex());
        @Nullable Subscription current = subscriptions.get(learner);
        long through = current != null && current.awaitsConfirmation() && after < current.sentIndex()
                ? current.sentIndex()
                : state.commitIndex();
        subscriptions.put(
                learner,
                send(learner, after, through, output)
                        .until(nowNanos + state.options().subscriptionNanos()));
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
            boolean hasUpdates = !subscription.awaitsConfirmation()
                    && subscription.sentIndex() < state.commitIndex()
                    && state.log().term(subscription.sentIndex()) != ReplicaLog.UNKNOWN_TERM;
            return hasUpdates
                    ? send(learner, subscription.sentIndex(), state.commitIndex(), output)
                            .until(subscription.expiryNanos())
                    : subscription;
        });
    }

    /** What was sent to a learner. Immutable. */
    private record Sent(long index, boolean large) {
        Subscription until(long expiryNanos) {
            return new Subscription(index, large, expiryNanos);
        }
    }

    private Sent send(VoterId learner, long afterIndex, long throughIndex, ReplicaOutput output) {
        List<ReplicaEntry> entries = entries(afterIndex, throughIndex);
        ReplicaMessage.AppendRequest request = new ReplicaMessage.AppendRequest(
                state.term(),
                state.self(),
                afterIndex,
                state.log().term(afterIndex),
                entries,
                // Not the commit index: a source that lags tells its learners that they lag too.
                state.catchUpIndex(),
                // Round 0: no heartbeat round.
                0);
        output.send(learner.host(), request);
        return new Sent(
                afterIndex + entries.size(), entries.stream().anyMatch(entry -> MessageSizes.isLarge(entry.command())));
    }

    /** Returns the entries after an index, without superseded documents and limited to an estimated size. */
    private List<ReplicaEntry> entries(long afterIndex, long throughIndex) {
        long newestDocument = newestDocument(afterIndex, throughIndex);
        List<ReplicaEntry> entries = new ArrayList<>();
        int bytes = 0;
        for (long index = afterIndex + 1; index <= throughIndex; index++) {
            ReplicaEntry entry = state.log().entry(index);
            if (entry.command() instanceof Command.ReplaceDocument && index != newestDocument) {
                entry = ReplicaEntry.of(index, entry.term(), new Command.NoOperation());
            }
            bytes += MessageSizes.estimatedBytes(entry.command());
            if (!entries.isEmpty() && bytes > state.options().messageBytes()) {
                break;
            }
            entries.add(entry);
        }
        return entries;
    }

    /** Returns the index of the document that is stored after the given entries, 0 if none of them is a document. */
    private long newestDocument(long afterIndex, long throughIndex) {
        long newestIndex = 0;
        long newestVersion = Long.MIN_VALUE;
        for (long index = afterIndex + 1; index <= throughIndex; index++) {
            if (state.log().entry(index).command() instanceof Command.ReplaceDocument document
                    && (newestIndex == 0 || document.version() > newestVersion)) {
                newestIndex = index;
                newestVersion = document.version();
            }
        }
        return newestIndex;
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
