package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.bench.VirtualGroup;
import org.plantainwharf.bench.VirtualNode;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/**
 * Checks the safety properties of the protocol at every message, commit and step: one vote and one leader in a term,
 * one entry at an index, no overlapping leases, no vote from a lost disk. Not thread-safe.
 */
final class ReplicaInvariants implements VirtualGroup.Observer {
    private final TreeMap<Long, ReplicaEntry> committed = new TreeMap<>();
    private final Map<Long, HostId> leaders = new HashMap<>();
    private final Map<String, HostId> votes = new HashMap<>();
    private final Set<VoterId> lostIdentities = new HashSet<>();

    /** Thrown if a safety property is violated. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1;

        Violation(String message) {
            super(message);
        }
    }

    /** Records that the disk of an identity was lost. */
    void recordLostDisk(VoterId identity) {
        lostIdentities.add(identity);
    }

    long lastCommitted() {
        return committed.isEmpty() ? 0 : committed.lastKey();
    }

    /** Returns the voters after the newest committed change if it is confirmed, else an empty set. */
    Set<VoterId> repairedVoters() {
        List<Set<VoterId>> changes = new ArrayList<>();
        for (ReplicaEntry entry : committed.values()) {
            if (entry.command() instanceof Command.ChangeVoters change) {
                changes.add(change.voters());
            }
        }
        boolean complete =
                changes.size() == 1 || changes.size() > 1 && changes.getLast().equals(changes.get(changes.size() - 2));
        return complete ? changes.getLast() : Set.of();
    }

    @Override
    public void onSend(VirtualNode from, ReplicaOutput.Outgoing outgoing) {
        switch (outgoing.message()) {
            case ReplicaMessage.VoteRequest request -> recordVote(request.sender(), request.term(), from.host());
            case ReplicaMessage.VoteAnswer answer -> {
                if (answer.granted()) {
                    recordVote(answer.sender(), answer.term(), outgoing.host());
                }
            }
            default -> {}
        }
    }

    private void recordVote(VoterId voter, long term, HostId candidate) {
        if (lostIdentities.contains(voter)) {
            throw new Violation(voter.text() + " votes although its disk was lost");
        }
        @Nullable HostId earlier = votes.put(voter.text() + " in term " + term, candidate);
        if (earlier != null && !earlier.equals(candidate)) {
            throw new Violation(voter.text() + " votes twice in term " + term);
        }
    }

    @Override
    public void onCommit(VirtualNode node, ReplicaEntry entry) {
        @Nullable ReplicaEntry earlier = committed.putIfAbsent(entry.index(), entry);
        if (earlier != null && !earlier.equals(entry)) {
            throw new Violation("index " + entry.index() + " is committed as " + earlier + " and as " + entry);
        }
    }

    @Override
    public void onStep(VirtualGroup group, VirtualNode node, ReplicaOutput output) {
        long now = group.nowNanos();
        GroupStatus status = node.status(now).orElseThrow();
        if (output.counts().contains("consensus.elections_won")) {
            @Nullable HostId earlier = leaders.put(status.term(), node.host());
            if (earlier != null && !earlier.equals(node.host())) {
                throw new Violation("two leaders in term " + status.term());
            }
        }
        if (status.holdsLease(node.localNanos(now))) {
            for (VirtualNode other : group.nodes()) {
                if (other != node
                        && other.status(now)
                                .filter(theirs -> theirs.holdsLease(other.localNanos(now)))
                                .isPresent()) {
                    throw new Violation("leases of " + node.host() + " and " + other.host() + " overlap");
                }
            }
        }
    }
}
