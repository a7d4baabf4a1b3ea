package org.plantainwharf.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.bench.VirtualGroup;
import org.plantainwharf.bench.VirtualNode;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests individual rules of the protocol: acknowledgements, votes, snapshots, repair of a lost disk, learners. */
class ReplicaTest {
    private static final VoterId LEADER = VoterId.of(HostId.of("a"), 1);
    private static final VoterId SELF = VoterId.of(HostId.of("b"), 2);
    private static final VoterId THIRD = VoterId.of(HostId.of("c"), 3);
    private static final List<HostId> HOSTS = List.of(LEADER.host(), SELF.host(), THIRD.host());
    private static final Command BOOTSTRAP_COMMAND = new Command.ChangeVoters(Set.of(LEADER, SELF, THIRD));

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }

    private static ReplicaMessage.AppendRequest append(long term, long previous, long previousTerm, int count) {
        List<ReplicaEntry> entries = LongStream.rangeClosed(previous + 1, previous + count)
                .mapToObj(index ->
                        ReplicaEntry.of(index, term, index == 1 ? BOOTSTRAP_COMMAND : new Command.Expire(index)))
                .toList();
        return new ReplicaMessage.AppendRequest(term, LEADER, previous, previousTerm, entries, 0, 1);
    }

    @Nested
    class Follower {
        private final Replica replica = Replica.recover(
                0, SELF, HOSTS, ReplicaOptions.defaults(), RecoveredGroup.empty(), new SplittableRandom(1), 0);

        private ReplicaOutput receive(ReplicaMessage message, long atMillis) {
            return replica.step(new ReplicaInput.Received(message), millis(atMillis));
        }

        private StorageEffect.WriteLog written(ReplicaOutput output) {
            return (StorageEffect.WriteLog) output.writes().getFirst();
        }

        private ReplicaOutput synced(long number) {
            return replica.step(new ReplicaInput.WriteSynced(number), 0);
        }

        @Test
        void acknowledgesOnlyWhatIsSynced() {
            ReplicaOutput output = receive(append(1, 0, 0, 3), 0);
            assertTrue(output.messages().isEmpty());
            ReplicaOutput.Outgoing answer =
                    synced(written(output).writeNumber()).messages().getFirst();
            assertEquals(new ReplicaMessage.AppendAnswer(1, SELF, true, 3, 1), answer.message());
        }

        @Test
        void batchesEntriesThatArriveDuringAWrite() {
            ReplicaOutput first = receive(append(1, 0, 0, 1), 0);
            assertTrue(receive(append(1, 1, 1, 2), 0).writes().isEmpty());
            assertTrue(receive(append(1, 3, 1, 2), 0).writes().isEmpty());
            assertEquals(
                    4, written(synced(written(first).writeNumber())).entries().size());
        }

        private ReplicaMessage.AppendRequest streamed(long afterIndex) {
            return (ReplicaMessage.AppendRequest)
                    receive(new ReplicaMessage.StreamRequest(1, VoterId.of(HostId.of("d"), 0), afterIndex), 1)
                            .messages()
                            .getFirst()
                            .message();
        }

        private ReplicaMessage.AppendRequest committedUpTo(ReplicaMessage.AppendRequest request, long commitIndex) {
            return new ReplicaMessage.AppendRequest(
                    request.term(),
                    request.sender(),
                    request.previousIndex(),
                    request.previousTerm(),
                    request.entries(),
                    commitIndex,
                    request.round());
        }

        /** Otherwise a learner that starts would take the former state of this follower for the present one. */
        @Test
        void tellsLearnersThatItLagsBehindTheLeader() {
            synced(written(receive(committedUpTo(append(1, 0, 0, 3), 9), 0)).writeNumber());
            ReplicaMessage.AppendRequest stream = streamed(0);
            assertEquals(3, stream.entries().size());
            assertEquals(9, stream.commitIndex());
        }

        /** Until then the leader does not know what earlier terms committed. */
        @Test
        void tellsLearnersThatItLagsUntilAnEntryOfTheTermIsCommitted() {
            synced(written(receive(committedUpTo(append(1, 0, 0, 3), 3), 0)).writeNumber());
            receive(committedUpTo(new ReplicaMessage.AppendRequest(2, LEADER, 3, 1, List.of(), 0, 1), 3), 0);
            assertTrue(streamed(0).commitIndex() > 3);
        }

        @Test
        void neitherVotesNorAcknowledgesAfterAFailedWrite() {
            receive(append(1, 0, 0, 1), 0);
            replica.step(new ReplicaInput.WriteFailed(), 0);
            assertFalse(replica.status(0).voting());
            assertTrue(receive(append(1, 1, 1, 1), 0).messages().isEmpty());
            assertTrue(receive(new ReplicaMessage.VoteRequest(9, THIRD, 99, 8, false), 9_000)
                    .messages()
                    .isEmpty());
        }

        @Test
        void refusesVotesWhileALeaderIsActiveUnlessItTransfersLeadership() {
            synced(written(receive(append(1, 0, 0, 1), 0)).writeNumber());
            assertTrue(receive(new ReplicaMessage.VoteRequest(2, THIRD, 1, 1, false), 999)
                    .writes()
                    .isEmpty());
            assertEquals(
                    THIRD.text(),
                    written(receive(new ReplicaMessage.VoteRequest(2, THIRD, 1, 1, true), 999))
                            .vote());
        }

        @Test
        void refusesVotesAfterARestartAsIfALeaderWereActive() {
            RecoveredGroup disk = new RecoveredGroup(
                    1, "", ReplicaSnapshot.empty(), List.of(ReplicaEntry.of(1, 1, BOOTSTRAP_COMMAND)));
            Replica restarted =
                    Replica.recover(0, SELF, HOSTS, ReplicaOptions.defaults(), disk, new SplittableRandom(1), 0);
            ReplicaInput request = new ReplicaInput.Received(new ReplicaMessage.VoteRequest(2, THIRD, 1, 1, false));
            assertTrue(restarted.step(request, millis(999)).writes().isEmpty());
            assertFalse(restarted.step(request, millis(1_001)).writes().isEmpty());
        }

        @Test
        void acknowledgesAnInstalledSnapshotOnlyOnceSyncedAndNothingBeyondIt() {
            synced(written(receive(append(1, 0, 0, 9), 0)).writeNumber());
            ReplicaMessage.SnapshotChunk chunk = new ReplicaMessage.SnapshotChunk(
                    2, LEADER, 5, 2, List.of(LEADER, SELF, THIRD), 0, List.of(), true, 1);
            ReplicaOutput installed = receive(chunk, 0);
            assertEquals(5, installed.installed().orElseThrow().lastIndex());
            assertTrue(installed.messages().isEmpty());
            receive(chunk, 0);
            replica.step(new ReplicaInput.WriteSynced(2), 0);
            ReplicaOutput done = replica.step(new ReplicaInput.SnapshotSynced(5), 0);
            assertTrue(done.messages().stream()
                    .map(ReplicaOutput.Outgoing::message)
                    .anyMatch(new ReplicaMessage.AppendAnswer(2, SELF, true, 5, 1)::equals));
        }

        @Test
        void assemblesSnapshotChunksInAnyOrderOfArrival() {
            List<StateRecord> records = LongStream.range(0, 5)
                    .<StateRecord>mapToObj(number -> new StateRecord.Fencing(number, LEADER.host(), 1))
                    .toList();
            ReplicaSnapshot snapshot = new ReplicaSnapshot(7, 1, List.of(LEADER, SELF, THIRD), records);
            int[] offsets = {2, 0, 0, 4, 1, 2, 3, 3, 4};
            Optional<ReplicaSnapshot> last = Optional.empty();
            for (int offset : offsets) {
                last = receive(SnapshotChunks.chunkFrom(snapshot, offset, 1, LEADER, 1, 1), 0)
                        .installed();
            }
            assertEquals(Optional.of(snapshot), last);
        }
    }

    @Nested
    class LostDisk {
        private final ReplicaInvariants invariants = new ReplicaInvariants();
        private final VirtualGroup group = VirtualGroup.create(3, 5, 0, 0, ReplicaOptions.defaults(), invariants);

        @BeforeEach
        void electLeader() {
            group.run(millis(3_000));
        }

        private VirtualNode leader() {
            return group.leader().orElseThrow();
        }

        private VirtualNode follower() {
            return group.nodes().stream()
                    .filter(node -> node != leader())
                    .findFirst()
                    .orElseThrow();
        }

        private Replica replica(VirtualNode node) {
            return (Replica) node.member().orElseThrow();
        }

        private Optional<ProposalRefusal> proposeReplacement(VoterId lost, VoterId replacement) {
            Set<VoterId> voters = new HashSet<>(replica(leader()).voters());
            voters.remove(lost);
            voters.add(replacement);
            return group.step(leader(), new ReplicaInput.Proposed(new Command.ChangeVoters(voters)))
                    .refusal();
        }

        private void loseDisk(VirtualNode node, long incarnation) {
            group.crash(node);
            invariants.recordLostDisk(node.identity());
            node.loseDisk(incarnation);
        }

        private void repair() {
            group.run(millis(2_500));
            VoterRepair.nextDiskReplacement(replica(leader())).ifPresent(change -> group.propose(leader(), change));
            group.run(millis(1_000));
        }

        @Test
        void isNotReplacedBeforeTheNewCopyIsCaughtUpAndSynced() {
            VirtualNode node = follower();
            VoterId lost = node.identity();
            loseDisk(node, 100);
            assertEquals(Optional.of(ProposalRefusal.NOT_CAUGHT_UP), proposeReplacement(lost, node.identity()));
            group.start(node);
            group.run(millis(2_500));
            assertFalse(node.status(group.nowNanos()).orElseThrow().voting());
            assertEquals(Optional.empty(), proposeReplacement(lost, node.identity()));
            group.run(millis(1_000));
            assertTrue(node.status(group.nowNanos()).orElseThrow().voting());
            assertEquals(invariants.repairedVoters(), replica(node).voters());
        }

        @Test
        void isNotReplacedWhileThePreviousChangeIsIncomplete() {
            VirtualNode node = follower();
            loseDisk(node, 100);
            group.start(node);
            group.run(millis(2_500));
            VoterRepair.nextDiskReplacement(replica(leader())).ifPresent(change -> group.propose(leader(), change));
            VoterId other = leader().identity();
            assertEquals(
                    Optional.of(ProposalRefusal.CHANGE_IN_PROGRESS),
                    proposeReplacement(other, VoterId.of(other.host(), 200)));
        }

        @Test
        void isToleratedAgainRightAfterTheRepair() {
            VirtualNode repaired = follower();
            loseDisk(repaired, 100);
            group.start(repaired);
            repair();
            long committed = group.propose(leader(), new Command.Expire(1));
            group.run(millis(500));
            loseDisk(leader(), 200);
            group.run(millis(4_000));
            assertTrue(leader().appliedIndex() > committed);
        }

        @Test
        void doesNotLetTheBootstrapHostBootstrapTheGroupAgain() {
            VirtualNode bootstrapHost = group.nodes().getFirst();
            loseDisk(bootstrapHost, 100);
            group.start(bootstrapHost);
            group.run(millis(5_000));
            repair();
            assertEquals(invariants.lastCommitted(), bootstrapHost.appliedIndex());
            assertTrue(replica(leader()).voters().contains(bootstrapHost.identity()));
        }
    }

    @Nested
    class Learners {
        private final Learner learner =
                Learner.create(0, VoterId.of(HostId.of("d"), 0), List.of(LEADER.host()), ReplicaOptions.defaults(), 0);

        private ReplicaOutput stream(long previous, int count) {
            return learner.step(new ReplicaInput.Received(append(1, previous, 1, count)), 0);
        }

        @Test
        void applyNothingTwiceAndNothingAfterAGap() {
            assertEquals(3, stream(0, 3).committed().size());
            assertEquals(0, stream(1, 2).committed().size());
            assertEquals(2, stream(2, 3).committed().size());
            ReplicaOutput gap = stream(7, 1);
            assertEquals(0, gap.committed().size());
            assertEquals(
                    new ReplicaMessage.StreamRequest(1, VoterId.of(HostId.of("d"), 0), 5),
                    gap.messages().getFirst().message());
        }

        @Test
        void replaceASourceThatStopsAnswering() {
            VirtualGroup group =
                    VirtualGroup.create(5, 3, 3, 0, ReplicaOptions.defaults(), VirtualGroup.Observer.none());
            group.run(millis(4_000));
            group.crash(group.nodes().get(2));
            group.run(millis(6_000));
            long index = group.propose(group.leader().orElseThrow(), new Command.Expire(1));
            group.run(millis(100));
            group.nodes().stream()
                    .filter(VirtualNode::learner)
                    .forEach(node ->
                            assertTrue(node.appliedIndex() >= index, node.host().value()));
        }
    }
}
