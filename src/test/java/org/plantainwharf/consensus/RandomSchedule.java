package org.plantainwharf.consensus;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.bench.VirtualGroup;
import org.plantainwharf.bench.VirtualNode;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.Command;

/**
 * Runs production replicas through a sequence of faults generated from a seed: message loss, delay, duplication and
 * reordering, partitions, crashes, restarts, lost disks, failed writes, leadership transfers and clock drift of up to
 * 5%. A disk is lost only after the repair of the previous one is complete, because the protocol gives no guarantee for
 * a second disk lost before that. Not thread-safe.
 */
final class RandomSchedule {
    private static final double CLOCK_DRIFT = 0.05;
    private static final int FAULT_COUNT = 120;

    private final SplittableRandom random;
    private final ReplicaInvariants invariants = new ReplicaInvariants();
    private final VirtualGroup group;
    private final Fault fault;
    /**
     * Maximum number of proposals at a time. With few proposals, a voter that was partitioned is still up to date and
     * can win an election.
     */
    private final int maximumProposals;

    private long proposals;
    private long incarnations = 100;

    /** Protocol rule that the replicas or disks violate on purpose. */
    enum Fault {
        NONE,
        /** Disks report a write as synced when it has only started. */
        ACKNOWLEDGE_BEFORE_SYNC,
        /** Voters grant votes although they have recent contact with a leader. */
        VOTE_DESPITE_LEADER,
        /** A host keeps its voter identity after its disk was emptied. */
        KEEP_IDENTITY_ON_EMPTY_DISK
    }

    /** Thrown if a host still lacks committed entries long after the last fault. */
    static final class NotCaughtUp extends AssertionError {
        private static final long serialVersionUID = 1;

        NotCaughtUp(String message) {
            super(message);
        }
    }

    private RandomSchedule(long seed, Fault fault) {
        this.random = new SplittableRandom(seed);
        this.fault = fault;
        this.maximumProposals = random.nextInt(3);
        this.group = VirtualGroup.create(
                seed,
                random.nextBoolean() ? 5 : 3,
                1,
                CLOCK_DRIFT,
                options(fault == Fault.VOTE_DESPITE_LEADER),
                invariants);
        group.setSnapshotEntries(20);
        if (fault == Fault.ACKNOWLEDGE_BEFORE_SYNC) {
            group.reportSyncEarly();
        }
    }

    /** Returns the default timeouts with few retained entries and messages so small that snapshots need chunks. */
    private static ReplicaOptions options(boolean voteDespiteLeader) {
        ReplicaOptions defaults = ReplicaOptions.defaults();
        return new ReplicaOptions(
                defaults.heartbeatNanos(),
                defaults.leaseNanos(),
                voteDespiteLeader ? 0 : defaults.voteRefusalNanos(),
                defaults.electionMinimumNanos(),
                defaults.electionMaximumNanos(),
                defaults.logBounds().withRetainedEntries(5),
                600,
                defaults.streamRenewalNanos(),
                defaults.sourceTimeoutNanos(),
                defaults.subscriptionNanos());
    }

    static RandomSchedule create(long seed, Fault fault) {
        return new RandomSchedule(seed, fault);
    }

    /**
     * Runs the schedule, then ends all faults and checks that every host has applied all committed entries.
     *
     * @throws NotCaughtUp if a host has not
     */
    void run() {
        group.run(millis(6_000));
        group.setSyncNanos(millis(1 + random.nextInt(60)));
        for (int action = 0; action < FAULT_COUNT; action++) {
            injectFault();
            propose();
            group.run(millis(20 + random.nextInt(600)));
            propose();
        }
        group.network().heal();
        group.network().setFaults(0, 0);
        group.nodes().forEach(this::restart);
        for (int second = 0; second < 20; second++) {
            group.run(millis(1_000));
            propose();
        }
        group.run(millis(4_000));
        for (VirtualNode node : group.nodes()) {
            if (node.appliedIndex() < invariants.lastCommitted()) {
                throw new NotCaughtUp(node.host() + " applied " + node.appliedIndex() + " of "
                        + invariants.lastCommitted() + " committed entries; " + describe());
            }
        }
    }

    private String describe() {
        return group.nodes().stream()
                .map(node -> node.identity().text() + " " + node.status(group.nowNanos()) + " last index "
                        + node.member()
                                .map(member -> member instanceof Replica replica ? replica.lastIndex() : -1L)
                                .orElse(-1L))
                .toList()
                .toString();
    }

    private void injectFault() {
        VirtualNode node = group.nodes().get(random.nextInt(group.nodes().size()));
        switch (random.nextInt(12)) {
            case 0, 1 -> group.crash(node);
            case 2 -> group.network().isolate(node.host());
            case 3 -> group.network().heal();
            case 4 -> group.network().setFaults(random.nextDouble(0.3), random.nextDouble(0.3));
            case 5 -> group.network().setDelay(millis(1), millis(2 + random.nextInt(300)));
            case 6 -> loseDisk(node);
            case 7 -> node.failNextWrite();
            case 8 -> group.leader().ifPresent(leader -> group.step(leader, new ReplicaInput.Resigned()));
            case 9 -> {
                // Only one voter loses contact with the leader, for longer than its election timeout.
                group.leader().filter(leader -> leader != node).ifPresent(leader -> {
                    group.network().cut(leader.host(), node.host());
                    group.run(millis(2_500));
                });
            }
            case 10 -> group.nodes().forEach(this::restart);
            default -> group.nodes().forEach(this::maybeRestart);
        }
        if (random.nextInt(3) == 0) {
            maybeRestart(group.nodes().get(random.nextInt(group.nodes().size())));
        }
    }

    private void maybeRestart(VirtualNode node) {
        boolean stopped = node.member().isEmpty();
        if (stopped || random.nextInt(4) == 0) {
            restart(node);
        }
    }

    private void restart(VirtualNode node) {
        group.crash(node);
        group.start(node);
    }

    private void loseDisk(VirtualNode node) {
        List<HostId> intact = group.nodes().stream()
                .filter(other -> invariants.repairedVoters().contains(other.identity()))
                .map(VirtualNode::host)
                .toList();
        if (node.learner() || intact.size() < group.nodes().size() - 1) {
            return;
        }
        group.crash(node);
        if (fault == Fault.KEEP_IDENTITY_ON_EMPTY_DISK) {
            node.loseDisk(node.identity().diskIncarnation());
        } else {
            invariants.recordLostDisk(node.identity());
            node.loseDisk(incarnations++);
        }
        group.start(node);
    }

    private void propose() {
        for (VirtualNode node : group.nodes()) {
            if (node.member().orElse(null) instanceof Replica replica) {
                VoterRepair.nextDiskReplacement(replica).ifPresent(change -> group.propose(node, change));
                for (int count = random.nextInt(maximumProposals + 1); count > 0; count--) {
                    group.propose(node, new Command.Expire(proposals++));
                }
            }
        }
    }

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }
}
