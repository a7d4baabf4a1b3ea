package org.plantainwharf.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.bench.VirtualGroup;
import org.plantainwharf.bench.VirtualNode;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/**
 * A random fault schedule for a group without a configured member list: three hosts start as voters and others join,
 * disks are lost one at a time (also while all other hosts lose power), and hosts are partitioned and killed. Checks
 * the invariants after every step. Not thread-safe.
 */
final class SeededSchedule {
    private static final int INITIAL_VOTERS = 3;
    private static final int FAULT_COUNT = 30;
    private static final long VOTER_REPLACEMENT_DELAY_MILLIS = 2_500;

    private final SplittableRandom random;
    private final ReplicaInvariants invariants = new ReplicaInvariants();
    private final VirtualGroup group;
    private final boolean bootstrapsAgain;
    private final Map<HostId, Long> downSinceNanos = new HashMap<>();
    private final Set<HostId> isolated = new HashSet<>();
    private long proposals;
    private long incarnations = 100;

    SeededSchedule(long seed, boolean bootstrapsAgain) {
        this.random = new SplittableRandom(seed);
        this.bootstrapsAgain = bootstrapsAgain;
        int hosts = INITIAL_VOTERS + random.nextInt(3);
        this.group = VirtualGroup.createWithDiscovery(
                seed, hosts, INITIAL_VOTERS, 0.01, ReplicaOptions.forDiscoveredHosts(), invariants);
        group.setSnapshotEntries(20);
    }

    /**
     * Runs the schedule, then ends all faults and checks that every host has applied all committed entries.
     *
     * @throws RandomSchedule.NotCaughtUp if a host has not
     */
    void run() {
        group.run(millis(8_000));
        propose();
        for (int action = 0; action < FAULT_COUNT; action++) {
            injectFault();
            for (int step = 0; step < 5; step++) {
                propose();
                group.run(millis(50 + random.nextInt(400)));
            }
        }
        heal();
        group.nodes().forEach(this::restart);
        for (int second = 0; second < 25; second++) {
            group.run(millis(1_000));
            propose();
        }
        group.run(millis(4_000));
        if (invariants.lastCommitted() < 2) {
            throw new AssertionError("no entry was committed after the initial content");
        }
        for (VirtualNode node : group.nodes()) {
            if (node.appliedIndex() < invariants.lastCommitted()) {
                throw new RandomSchedule.NotCaughtUp(
                        node.host() + " applied " + node.appliedIndex() + " of " + invariants.lastCommitted());
            }
        }
    }

    private void injectFault() {
        VirtualNode node = group.nodes().get(random.nextInt(group.nodes().size()));
        switch (random.nextInt(7)) {
            case 0 -> stop(node);
            case 1 -> isolate(node);
            case 2 -> heal();
            case 3 -> group.nodes().forEach(this::restart);
            case 4 -> loseDisk(node, false);
            case 5 -> loseDisk(node, true);
            default -> group.network().setFaults(random.nextDouble(0.2), random.nextDouble(0.2));
        }
        if (random.nextBoolean()) {
            group.nodes().stream()
                    .filter(other -> other.member().isEmpty())
                    .findFirst()
                    .ifPresent(this::restart);
        }
    }

    private void stop(VirtualNode node) {
        group.crash(node);
        downSinceNanos.put(node.host(), group.nowNanos());
    }

    private void isolate(VirtualNode node) {
        group.network().isolate(node.host());
        isolated.add(node.host());
        downSinceNanos.putIfAbsent(node.host(), group.nowNanos());
    }

    private void heal() {
        group.network().heal();
        group.network().setFaults(0, 0);
        isolated.forEach(downSinceNanos::remove);
        isolated.clear();
    }

    private void restart(VirtualNode node) {
        group.crash(node);
        group.start(node);
        if (!isolated.contains(node.host())) {
            downSinceNanos.remove(node.host());
        }
    }

    /**
     * Empties the disk of one host, if the other voters all have their disks and the last repair is complete. The other
     * hosts may lose power at the same time.
     */
    private void loseDisk(VirtualNode node, boolean othersLosePower) {
        Set<VoterId> voters = invariants.repairedVoters();
        boolean intact = voters.size() >= INITIAL_VOTERS
                && group.nodes().stream()
                                .map(VirtualNode::identity)
                                .filter(identity -> !identity.equals(node.identity()))
                                .filter(voters::contains)
                                .count()
                        >= voters.size() - (voters.contains(node.identity()) ? 1 : 0);
        if (!intact) {
            return;
        }
        List<VirtualNode> others =
                group.nodes().stream().filter(other -> other != node).toList();
        if (othersLosePower) {
            others.forEach(group::crash);
        }
        group.crash(node);
        boolean initialIdentity = node.identity().diskIncarnation() == 1;
        if (bootstrapsAgain && initialIdentity) {
            group.reinitializeFirstVoter(node, INITIAL_VOTERS);
        } else {
            invariants.recordLostDisk(node.identity());
            node.loseDisk(incarnations++);
        }
        restart(node);
        if (othersLosePower) {
            others.forEach(this::restart);
        }
    }

    private void propose() {
        for (VirtualNode node : group.nodes()) {
            if (node.member().orElse(null) instanceof Replica replica) {
                VoterRepair.nextVoterChange(replica, host -> unreachable(node.host(), host))
                        .ifPresent(change -> group.propose(node, change));
                if (random.nextBoolean()) {
                    group.propose(node, new Command.Expire(proposals++));
                }
            }
        }
    }

    private boolean unreachable(HostId self, HostId host) {
        Long since = downSinceNanos.get(host);
        return !host.equals(self)
                && since != null
                && group.nowNanos() - since >= millis(VOTER_REPLACEMENT_DELAY_MILLIS);
    }

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }
}
