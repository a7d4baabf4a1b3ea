package org.plantainwharf.consensus;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.bench.VirtualGroup;
import org.plantainwharf.bench.VirtualNode;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.VoterId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests groups whose initial voters are configured and whose other members join without an operator. Guards against a
 * second bootstrap, a new host that never becomes a voter, and a voter that is removed without a replacement.
 */
class SeededGroupTest {
    private static VirtualGroup group(int hosts) {
        return VirtualGroup.createWithDiscovery(
                11, hosts, 3, 0.01, ReplicaOptions.forDiscoveredHosts(), VirtualGroup.Observer.none());
    }

    private static Set<String> voters(VirtualGroup group) {
        return group.leader()
                .flatMap(VirtualNode::member)
                .filter(Replica.class::isInstance)
                .map(Replica.class::cast)
                .map(replica -> replica.voters().stream()
                        .map(VoterId::host)
                        .map(HostId::value)
                        .collect(Collectors.toSet()))
                .orElse(Set.of());
    }

    private static void repair(VirtualGroup group, Set<String> unreachable) {
        group.leader().ifPresent(leader -> VoterRepair.nextVoterChange(
                        (Replica) leader.member().orElseThrow(), host -> unreachable.contains(host.value()))
                .ifPresent(change -> group.propose(leader, change)));
    }

    private static void runRepairing(VirtualGroup group, Set<String> unreachable) {
        for (int step = 0; step < 40; step++) {
            group.run(TimeUnit.MILLISECONDS.toNanos(200));
            repair(group, unreachable);
        }
    }

    @Nested
    class Bootstrap {
        @Test
        void needsOnlyAMajorityOfTheInitialVoters() {
            VirtualGroup group = group(3);
            group.crash(group.nodes().get(0));
            assertTrue(group.runUntilLeader(TimeUnit.SECONDS.toNanos(10)));
        }

        @Test
        void isNotDoneByHostsOtherThanTheInitialVoters() {
            VirtualGroup group = group(5);
            group.crash(group.nodes().get(0));
            group.crash(group.nodes().get(1));
            assertTrue(!group.runUntilLeader(TimeUnit.SECONDS.toNanos(20)));
        }
    }

    @Nested
    class Joining {
        @Test
        void happensWithoutAnOperator() {
            VirtualGroup group = group(4);
            runRepairing(group, Set.of());
            assertEquals(Set.of("voter-0", "voter-1", "voter-2", "voter-3"), voters(group));
        }

        @Test
        void replacesAnUnreachableVoter() {
            VirtualGroup group = group(4);
            group.crash(group.nodes().get(1));
            runRepairing(group, Set.of("voter-1"));
            assertEquals(Set.of("voter-0", "voter-2", "voter-3"), voters(group));
        }

        @Test
        void removesNoVoterWithoutAReplacement() {
            VirtualGroup group = group(3);
            group.crash(group.nodes().get(1));
            runRepairing(group, Set.of("voter-1"));
            assertEquals(Set.of("voter-0", "voter-1", "voter-2"), voters(group));
        }
    }

    @Group
    class RandomSchedules {
        @Property(tries = 60, seed = "20261205", shrinking = ShrinkingMode.OFF)
        void neverLoseCommittedEntriesNorLeadTwice(@ForAll long seed) {
            try {
                new SeededSchedule(seed, false).run();
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("schedule seed " + seed + ": " + e.getMessage(), e);
            }
        }
    }

    /** Verifies that the schedules detect a host that bootstraps the group again after its disk was emptied. */
    @Nested
    class RepeatedBootstrap {
        @Test
        void onAnEmptiedDiskIsCaught() {
            Optional<Long> caught = LongStream.range(0, 300)
                    .boxed()
                    .filter(SeededGroupTest::violates)
                    .findFirst();
            assertTrue(caught.isPresent());
        }
    }

    private static boolean violates(long seed) {
        try {
            new SeededSchedule(seed, true).run();
            return false;
        } catch (RandomSchedule.NotCaughtUp e) {
            return false;
        } catch (ReplicaInvariants.Violation | IllegalStateException e) {
            return true;
        }
    }
}
