package org.plantainwharf.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.consensus.ReplicaOutput;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;

/** Measures how fast learners apply committed entries and how much traffic that takes. Not thread-safe. */
final class LearnerStreamMeter implements VirtualGroup.Observer {
    private final Map<Long, Long> commitNanosByIndex = new HashMap<>();
    private final List<Long> applyDelayNanos = new ArrayList<>();
    private @Nullable VirtualGroup group;
    private long estimatedBytes;

    private LearnerStreamMeter() {}

    static LearnerStreamMeter create() {
        return new LearnerStreamMeter();
    }

    /** Starts a measurement on a group and discards the results of an earlier one. */
    void start(VirtualGroup observedGroup) {
        group = observedGroup;
        applyDelayNanos.clear();
        estimatedBytes = 0;
    }

    /** Returns, for each entry and learner, the nanoseconds from the first commit of the entry to its application. */
    List<Long> applyDelayNanos() {
        return applyDelayNanos;
    }

    /** Returns the estimated bytes to and from learners: 64 for each message and 256 for each entry. */
    long estimatedBytes() {
        return estimatedBytes;
    }

    @Override
    public void onSend(VirtualNode from, ReplicaOutput.Outgoing outgoing) {
        if (from.learner() || outgoing.host().value().startsWith("learner")) {
            int entries = outgoing.message() instanceof ReplicaMessage.AppendRequest request
                    ? request.entries().size()
                    : 0;
            estimatedBytes += 64 + 256L * entries;
        }
    }

    @Override
    public void onCommit(VirtualNode node, ReplicaEntry entry) {
        if (group == null) {
            return;
        }
        long now = group.nowNanos();
        if (!node.learner()) {
            commitNanosByIndex.putIfAbsent(entry.index(), now);
        } else if (commitNanosByIndex.get(entry.index()) instanceof Long committed) {
            applyDelayNanos.add(now - committed);
        }
    }

    @Override
    public void onStep(VirtualGroup stepped, VirtualNode node, ReplicaOutput output) {}
}
