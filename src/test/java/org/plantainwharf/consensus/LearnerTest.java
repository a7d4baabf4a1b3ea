package org.plantainwharf.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a learner that follows an unresponsive source for so long that a new document is in force too late. A
 * timeout of 2.5 s and requests at intervals of 1 s exceeded the limit of 2 s after a zone was partitioned.
 */
class LearnerTest {
    private static final List<HostId> HOSTS = List.of(HostId.of("a"), HostId.of("b"), HostId.of("c"));

    /** Time within which a document must be in force on a host that reaches a majority. */
    private static final long DOCUMENT_DEADLINE_MILLIS = 2_000;

    @Nested
    class UnresponsiveSources {
        private final Learner learner = Learner.create(
                0,
                VoterId.of(HostId.of("entry"), 0),
                LogHosts.discovered(HOSTS),
                ReplicaOptions.forDiscoveredHosts(),
                0);

        /**
         * Ticks the learner every 50 ms, as the daemon does, and answers its requests on behalf of every host except
         * the unresponsive one. Returns the host that received the last request.
         */
        private HostId lastRequested(long fromMillis, long toMillis, HostId unresponsive) {
            HostId requested = unresponsive;
            for (long millis = fromMillis; millis <= toMillis; millis += 50) {
                long now = TimeUnit.MILLISECONDS.toNanos(millis);
                for (ReplicaOutput.Outgoing outgoing :
                        learner.step(new ReplicaInput.Ticked(), now).messages()) {
                    requested = outgoing.host();
                    if (!requested.equals(unresponsive)) {
                        learner.step(
                                new ReplicaInput.Received(new ReplicaMessage.AppendRequest(
                                        1, VoterId.of(requested, 9), 0, 0, List.of(), 0, 0)),
                                now);
                    }
                }
            }
            return requested;
        }

        @Test
        void areReplacedBeforeADocumentIsOverdue() {
            HostId first = lastRequested(0, 500, HostId.of("nobody"));
            HostId second = lastRequested(550, 550 + DOCUMENT_DEADLINE_MILLIS, first);
            assertTrue(!second.equals(first), "still requests from " + first);
        }

        @Test
        void areKeptWhileTheyAnswer() {
            HostId first = lastRequested(0, 500, HostId.of("nobody"));
            assertEquals(first, lastRequested(550, 10_000, HostId.of("nobody")));
        }
    }

    /** A source that restarted lags behind the leader, and would give its learners a document of former days. */
    @Nested
    class LaggingSources {
        private final Learner learner = Learner.create(
                0,
                VoterId.of(HostId.of("entry"), 0),
                LogHosts.discovered(HOSTS),
                ReplicaOptions.forDiscoveredHosts(),
                0);

        private ReplicaMessage.AppendRequest answer(HostId source, long commitIndex) {
            return new ReplicaMessage.AppendRequest(1, VoterId.of(source, 9), 0, 0, List.of(), commitIndex, 0);
        }

        @Test
        void areReplacedWhileTheyHaveNoEntries() {
            Set<HostId> requested = new HashSet<>();
            for (long millis = 0; millis <= DOCUMENT_DEADLINE_MILLIS; millis += 50) {
                long now = TimeUnit.MILLISECONDS.toNanos(millis);
                for (ReplicaOutput.Outgoing outgoing :
                        learner.step(new ReplicaInput.Ticked(), now).messages()) {
                    requested.add(outgoing.host());
                    learner.step(new ReplicaInput.Received(answer(outgoing.host(), 7)), now);
                }
            }
            assertTrue(requested.size() > 1, "requests only from " + requested);
        }

        /** A snapshot may be hundreds of entries older than what is committed. */
        @Test
        void thatSendASnapshotDoNotShowWhatWasCommittedAfterIt() {
            VoterId source = VoterId.of(HostId.of("a"), 9);
            learner.step(
                    new ReplicaInput.Received(SnapshotChunks.chunkFrom(snapshotUpTo(256), 0, 1, source, 0, 1 << 20)),
                    0);
            GroupStatus installed = learner.status(0);
            assertEquals(256, installed.appliedIndex());
            assertTrue(installed.appliedIndex() < installed.commitIndex(), installed.toString());
            learner.step(
                    new ReplicaInput.Received(new ReplicaMessage.AppendRequest(1, source, 256, 1, List.of(), 256, 0)),
                    0);
            GroupStatus confirmed = learner.status(0);
            assertEquals(confirmed.commitIndex(), confirmed.appliedIndex());
        }

        private static ReplicaSnapshot snapshotUpTo(long lastIndex) {
            return new ReplicaSnapshot(lastIndex, 1, List.of(), List.of());
        }

        /** A source may name entries of a former leader that a new one replaces by fewer. */
        @Test
        void thatNameFewerEntriesLaterDoNotLeaveTheLearnerBehind() {
            learner.step(new ReplicaInput.Received(answer(HostId.of("a"), 7)), 0);
            learner.step(new ReplicaInput.Received(answer(HostId.of("a"), 0)), 0);
            GroupStatus status = learner.status(0);
            assertEquals(status.commitIndex(), status.appliedIndex());
        }

        @Test
        void showThatTheLearnerIsBehind() {
            learner.step(new ReplicaInput.Received(answer(HostId.of("a"), 7)), 0);
            GroupStatus status = learner.status(0);
            assertTrue(status.appliedIndex() < status.commitIndex(), status.toString());
        }
    }

    /** A copy that is taken for complete too early or too long makes a daemon refuse as unknown what was added meanwhile. */
    @Nested
    class CopiesOfTheLog {
        private static final VoterId SOURCE = VoterId.of(HostId.of("a"), 9);

        private final Learner learner = Learner.create(
                0,
                VoterId.of(HostId.of("entry"), 0),
                LogHosts.discovered(HOSTS),
                ReplicaOptions.forDiscoveredHosts(),
                1_000);

        private LogCopy receive(long term, long previousTerm, long entries, long commitIndex, long sentAfterNanos) {
            long applied = learner.status(0).appliedIndex();
            List<ReplicaEntry> appended = LongStream.rangeClosed(applied + 1, applied + entries)
                    .mapToObj(index -> ReplicaEntry.of(index, term, new Command.NoOperation()))
                    .toList();
            learner.step(
                    new ReplicaInput.Received(
                            new ReplicaMessage.AppendRequest(
                                    term, SOURCE, applied, previousTerm, appended, commitIndex, 0),
                            OptionalLong.of(sentAfterNanos)),
                    9_000);
            return learner.copy(9_000);
        }

        @Test
        void areUnconfirmedBeforeASourceAnswers() {
            assertEquals(new LogCopy.Unconfirmed(), learner.copy(9_000));
        }

        @Test
        void areCompleteUntilTheConfirmingMessageWasSentAtTheEarliest() {
            assertEquals(new LogCopy.CompleteUntil(2_000), receive(1, 0, 2, 2, 2_000));
            assertEquals(new LogCopy.CompleteUntil(3_000), receive(1, 1, 0, 2, 3_000));
            assertEquals(new LogCopy.CompleteUntil(3_000), receive(1, 1, 0, 2, 2_500));
        }

        @Test
        void areIncompleteAsSoonAsASourceNamesAnEntryThatTheyLack() {
            receive(1, 0, 2, 2, 2_000);
            assertEquals(new LogCopy.Incomplete(), receive(1, 1, 0, 3, 3_000));
            assertEquals(new LogCopy.CompleteUntil(4_000), receive(1, 1, 1, 3, 4_000));
        }

        /** A new leader names one index too many until it has committed, so that each change would show as a gap. */
        @Test
        void stayAsTheyAreWhileANewLeaderDoesNotKnowWhatIsCommitted() {
            receive(1, 0, 2, 2, 2_000);
            assertEquals(new LogCopy.CompleteUntil(2_000), receive(2, 1, 0, 3, 3_000));
            assertEquals(new LogCopy.CompleteUntil(4_000), receive(2, 1, 1, 3, 4_000));
        }

        @Test
        void areCurrentForALimitedTime() {
            LogCopy copy = receive(1, 0, 2, 2, 2_000);
            assertTrue(copy.isCurrent(2_500, 500));
            assertFalse(copy.isCurrent(2_501, 500));
            assertFalse(new LogCopy.Incomplete().isCurrent(2_000, 500));
        }
    }
}
