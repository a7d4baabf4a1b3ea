package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.call.Content;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against large documents that keep a member behind a slow link from the newest one: older ones sent before it,
 * the same one sent again and again, a transfer that is given up for another source, and heartbeats that wait for it.
 */
class LargeTransferTest {
    private static final VoterId LEADER = VoterId.of(HostId.of("a"), 1);
    private static final VoterId FOLLOWER = VoterId.of(HostId.of("b"), 2);
    private static final VoterId LEARNER = VoterId.of(HostId.of("entry"), 0);
    private static final int DOCUMENT_BYTES = 300_000;
    private static final int TICK_MILLIS = 50;

    private Replica leader = leaderOf(Set.of(LEADER));
    private final List<ReplicaOutput.Outgoing> sent = new ArrayList<>();
    private long nowNanos;

    private static Replica leaderOf(Set<VoterId> voters) {
        return Replica.recover(
                0,
                LEADER,
                LogHosts.discovered(List.of(LEADER.host(), FOLLOWER.host())),
                ReplicaOptions.forDiscoveredHosts(),
                new RecoveredGroup(1, "", new ReplicaSnapshot(1, 1, List.copyOf(voters), List.of()), List.of()),
                new SplittableRandom(1),
                0);
    }

    /** Steps the leader and syncs its writes at once. */
    private void step(ReplicaInput input) {
        ReplicaOutput output = leader.step(input, nowNanos);
        sent.addAll(output.messages());
        for (StorageEffect write : output.writes()) {
            if (write instanceof StorageEffect.WriteLog log) {
                step(new ReplicaInput.WriteSynced(log.writeNumber()));
            }
        }
    }

    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            nowNanos += TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS);
            step(new ReplicaInput.Ticked());
        }
    }

    private void propose(long version) {
        Content content = Content.of("application/json", new byte[DOCUMENT_BYTES]);
        step(new ReplicaInput.Proposed(new Command.ReplaceDocument(version, content)));
    }

    private List<ReplicaMessage.AppendRequest> takeAppends() {
        List<ReplicaMessage.AppendRequest> appends = sent.stream()
                .map(ReplicaOutput.Outgoing::message)
                .filter(ReplicaMessage.AppendRequest.class::isInstance)
                .map(ReplicaMessage.AppendRequest.class::cast)
                .toList();
        sent.clear();
        return appends;
    }

    private static List<Long> versions(List<ReplicaMessage.AppendRequest> appends) {
        return appends.stream()
                .flatMap(append -> append.entries().stream())
                .map(ReplicaEntry::command)
                .filter(Command.ReplaceDocument.class::isInstance)
                .map(command -> ((Command.ReplaceDocument) command).version())
                .toList();
    }

    @Nested
    class Sources {
        @BeforeEach
        void elect() {
            run(4_000);
            sent.clear();
        }

        private List<ReplicaMessage.AppendRequest> request(long afterIndex) {
            step(new ReplicaInput.Received(new ReplicaMessage.StreamRequest(1, LEARNER, afterIndex)));
            return takeAppends();
        }

        @Test
        void sendOnlyTheNewestOfSeveralDocuments() {
            for (long version = 1; version <= 25; version++) {
                propose(version);
            }
            sent.clear();
            List<ReplicaMessage.AppendRequest> appends = request(1);
            assertEquals(List.of(25L), versions(appends));
            assertEquals(
                    leader.lastIndex(), appends.getLast().entries().getLast().index());
        }

        @Test
        void leaveOutADocumentThatCameTooLate() {
            propose(7);
            propose(5);
            sent.clear();
            assertEquals(List.of(7L), versions(request(1)));
        }

        /** A learner that loads a document over a slow link renews its request while newer ones are committed. */
        @Test
        void repeatWhatIsUnderWayAndThenSendTheNewest() {
            propose(1);
            sent.clear();
            List<ReplicaMessage.AppendRequest> first = request(1);
            long confirmed = first.getLast().entries().getLast().index();
            for (long version = 2; version <= 9; version++) {
                propose(version);
                assertEquals(List.of(), versions(takeAppends()), "pushed before the confirmation");
                assertEquals(List.of(1L), versions(request(1)));
            }
            assertEquals(List.of(9L), versions(request(confirmed)));
        }
    }

    @Nested
    class Leaders {
        @BeforeEach
        void elect() {
            leader = leaderOf(Set.of(LEADER, FOLLOWER));
            for (int tick = 0; tick < 100 && leader.status(nowNanos).leader().isEmpty(); tick++) {
                run(TICK_MILLIS);
                answerVotes();
            }
            answerAppends();
            run(200);
            answerAppends();
        }

        private void answerVotes() {
            for (ReplicaOutput.Outgoing outgoing : List.copyOf(sent)) {
                switch (outgoing.message()) {
                    case ReplicaMessage.PreVoteRequest vote ->
                        step(new ReplicaInput.Received(new ReplicaMessage.PreVoteAnswer(vote.term(), FOLLOWER, true)));
                    case ReplicaMessage.VoteRequest vote ->
                        step(new ReplicaInput.Received(new ReplicaMessage.VoteAnswer(vote.term(), FOLLOWER, true)));
                    default -> {}
                }
                sent.remove(outgoing);
            }
        }

        /** Answers all messages, those with large entries only if they have arrived. */
        private List<ReplicaMessage.AppendRequest> answerAppends(boolean largeArrived) {
            List<ReplicaMessage.AppendRequest> appends = takeAppends();
            for (ReplicaMessage.AppendRequest append : appends) {
                if (largeArrived || versions(List.of(append)).isEmpty()) {
                    step(new ReplicaInput.Received(new ReplicaMessage.AppendAnswer(
                            append.term(),
                            FOLLOWER,
                            true,
                            append.previousIndex() + append.entries().size(),
                            append.round())));
                }
            }
            return appends;
        }

        private void answerAppends() {
            answerAppends(true);
        }

        @Test
        void keepTheirLeaseWhileALargeEntryIsUnderWay() {
            propose(1);
            int copies = 0;
            for (int tick = 0; tick < 40; tick++) {
                copies += versions(answerAppends(false)).size();
                run(TICK_MILLIS);
                assertTrue(leader.status(nowNanos).holdsLease(nowNanos), "no lease at tick " + tick);
            }
            assertTrue(copies <= 4, copies + " copies of the entry in 2 s");
            for (int tick = 0; tick < 20; tick++) {
                answerAppends();
                run(TICK_MILLIS);
            }
            assertEquals(leader.lastIndex(), leader.status(nowNanos).commitIndex());
        }
    }

    @Nested
    class Learners {
        @Test
        void stayWithASourceWhoseLargeMessageIsOnTheWay() {
            Learner learner = Learner.create(
                    0,
                    LEARNER,
                    LogHosts.discovered(List.of(LEADER.host(), FOLLOWER.host())),
                    ReplicaOptions.forDiscoveredHosts(),
                    0);
            HostId source = learner.step(new ReplicaInput.Ticked(), 0)
                    .messages()
                    .getFirst()
                    .host();
            for (long millis = 0; millis < 10_000; millis += TICK_MILLIS) {
                long now = TimeUnit.MILLISECONDS.toNanos(millis);
                learner.step(new ReplicaInput.ContentProgressed(source), now);
                for (ReplicaOutput.Outgoing request :
                        learner.step(new ReplicaInput.Ticked(), now).messages()) {
                    assertEquals(source, request.host(), "at " + millis + " ms");
                }
            }
        }
    }
}
