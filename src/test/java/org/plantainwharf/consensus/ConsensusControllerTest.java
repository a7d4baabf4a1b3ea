package org.plantainwharf.consensus;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests proposals and reads through the controllers of three voters and two hosts without a disk. Guards against
 * requests that are lost, answered twice or answered from stale state when a leader drains, stops or loses its
 * majority.
 */
class ConsensusControllerTest {
    private static final HostId DISKLESS = HostId.of("host-3");

    private final ControllerNetwork network = ControllerNetwork.create(3, 2);

    @BeforeEach
    void electLeaders() {
        network.run(3_000);
    }

    private HostId leader(int group) {
        return network.leader(group).orElseThrow();
    }

    private HostId follower() {
        return HostId.of(leader(0).value().equals("host-0") ? "host-1" : "host-0");
    }

    private void propose(HostId host, String id, int group, long value) {
        network.post(host, new ReplicationEvent.ProposalRequested(id, group, new Command.Expire(value)));
    }

    private void stopOtherVoters(HostId host) {
        for (String name : List.of("host-0", "host-1", "host-2")) {
            if (!host.value().equals(name)) {
                network.stop(HostId.of(name));
            }
        }
    }

    @Nested
    class Proposals {
        @Test
        void reachTheLeaderFromEveryHostAndAreAppliedEverywhere() {
            propose(leader(0), "a", 0, 1);
            propose(follower(), "b", 0, 2);
            propose(DISKLESS, "c", 0, 3);
            network.run(1_000);
            assertEquals(
                    1,
                    network.events(DISKLESS, ReplicationEvent.ProposalDecided.class)
                            .size());
            assertEquals(
                    1,
                    network.events(follower(), ReplicationEvent.ProposalDecided.class)
                            .size());
            assertEquals(List.of(1L, 2L, 3L), network.machine(DISKLESS).values());
        }

        @Test
        void ofARecordGroupReachItsLeaderFromAHostWithoutDisk() {
            propose(DISKLESS, "a", 1, 1);
            network.run(500);
            assertEquals(
                    1,
                    network.events(DISKLESS, ReplicationEvent.ProposalDecided.class)
                            .size());
        }

        @Test
        void surviveTheLossOfTheLeaderUnderTheSameIdentifier() {
            HostId old = leader(0);
            HostId proposer = follower();
            network.run(1_000);
            network.stop(old);
            network.run(1_500);
            propose(proposer, "a", 0, 7);
            network.run(2_000);
            assertEquals(
                    1,
                    network.events(proposer, ReplicationEvent.ProposalDecided.class)
                            .size());
            assertNotEquals(old, leader(0));
        }

        @Test
        void failOnceAfterTwoSecondsWithoutMajority() {
            HostId alone = leader(0);
            stopOtherVoters(alone);
            propose(alone, "a", 0, 9);
            network.run(1_900);
            assertEquals(
                    0,
                    network.events(alone, ReplicationEvent.ProposalFailed.class).size());
            network.run(3_000);
            assertEquals(
                    List.of(new ReplicationEvent.ProposalFailed("a", ErrorKind.NO_QUORUM)),
                    network.events(alone, ReplicationEvent.ProposalFailed.class));
            assertEquals(
                    0,
                    network.events(alone, ReplicationEvent.ProposalDecided.class)
                            .size());
        }
    }

    @Nested
    class Queries {
        private final Query query = new Query.WorkState(AccountName.of("a"), RequestId.of("r"));

        @Test
        void areAnsweredByTheLeaderForAHostWithoutDisk() {
            propose(leader(1), "a", 1, 1);
            network.post(DISKLESS, new ReplicationEvent.QueryRequested("q", 1, query));
            network.run(500);
            assertEquals(
                    List.of(new ReplicationEvent.QueryAnswered("q", new QueryResult.WorkPending(1))),
                    network.events(DISKLESS, ReplicationEvent.QueryAnswered.class));
        }

        @Test
        void areNotAnsweredFromStaleStateAfterTheLeaseEnded() {
            HostId alone = leader(1);
            stopOtherVoters(alone);
            network.run(1_000);
            network.post(alone, new ReplicationEvent.QueryRequested("q", 1, query));
            network.run(3_000);
            assertEquals(
                    0,
                    network.events(alone, ReplicationEvent.QueryAnswered.class).size());
            assertEquals(
                    1, network.events(alone, ReplicationEvent.QueryFailed.class).size());
        }
    }

    @Nested
    class Leadership {
        @Test
        void isTransferredByADrainingHostWithoutAnElectionTimeout() {
            HostId old = leader(0);
            network.board(old).drain().enter(new DrainPhase.Finishing(0));
            network.run(500);
            assertNotEquals(old, leader(0));
            assertTrue(network.events(old, ReplicationEvent.LeadershipChanged.class).stream()
                    .anyMatch(change -> change.group() == 0 && !change.leading()));
        }

        @Test
        void endsWithTheLeaseWhenTheMajorityIsGone() {
            HostId alone = leader(0);
            stopOtherVoters(alone);
            network.run(1_100);
            assertTrue(network.leader(0).isEmpty());
            assertTrue(network.board(alone).consensus().group(0).leader().isEmpty());
        }
    }

    @Nested
    class Snapshots {
        @Test
        void bringAHostWithoutDiskUpToDateInOrder() {
            network.stop(HostId.of("host-4"));
            LongStream.range(0, 100).forEach(value -> propose(leader(0), "p" + value, 0, value));
            network.run(3_000);
            assertTrue(network.count("consensus.snapshots_taken") > 0);
            assertEquals(
                    LongStream.range(0, 100).boxed().toList(),
                    network.machine(DISKLESS).values());
        }
    }
}
