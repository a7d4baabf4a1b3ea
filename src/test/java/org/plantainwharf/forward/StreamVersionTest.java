package org.plantainwharf.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.origin.OriginAnswer;
import org.plantainwharf.origin.StreamOrigin;
import org.plantainwharf.registry.ServerPhase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against streams that are joined from the events of two software versions. */
class StreamVersionTest {
    private static final ServerVersion BLUE = ServerVersion.of("blue");
    private static final ServerVersion GREEN = ServerVersion.of("green");
    private static final ServerVersion UNSTATED = ServerVersion.unstated();
    private static final ForwardOutcome BROKEN = new ForwardOutcome.Broken(true, true, "reset");

    private static ForwardEffect breakForward(ForwardEffect.StartForward start, String reason) {
        return new ForwardEffect.BreakForward(start.ticket(), Failure.of(ErrorKind.SERVER_FAILED, reason));
    }

    private final ForwardHarness harness = new ForwardHarness(
            List.of(
                    ForwardHarness.route("/safe/", Repeatability.SAFE, 4, false),
                    ForwardHarness.route("/resume/", Repeatability.STREAM, 4, true)),
            1_000_000);

    @BeforeEach
    void applyDocument() {
        harness.applyDocument();
        harness.retireVersion(UNSTATED);
    }

    private void listAndReport(String server, ServerVersion version) {
        harness.listVersion(version);
        harness.reportServer(server, 1, ServerPhase.READY, version);
    }

    private static ForwardEffect.StartForward started(List<ForwardEffect> effects) {
        return assertInstanceOf(ForwardEffect.StartForward.class, effects.getLast());
    }

    private static Failure refusal(List<ForwardEffect> effects) {
        return assertInstanceOf(ForwardEffect.RefuseForward.class, effects.getLast())
                .failure();
    }

    private List<ForwardEffect> arrive(String path) {
        return harness.arrive(path, Optional.of(ForwardHarness.KEY), 3_000);
    }

    /** An answer whose first event has reached the caller must end at the version that sent it, or be cut. */
    @Nested
    class ContinuationWithinAnAnswer {
        /** Starts a stream at a server that is the only one known; others are added afterwards. */
        private ForwardEffect.StartForward begin(ServerVersion version) {
            listAndReport("i-1", version);
            ForwardEffect.StartForward start = started(arrive("/resume/1"));
            harness.beginStream(start);
            return start;
        }

        @Test
        void goesToTheVersionOfTheFirstEvent() {
            ForwardEffect.StartForward start = begin(BLUE);
            listAndReport("i-2", GREEN);
            listAndReport("i-3", GREEN);
            listAndReport("i-4", BLUE);
            assertEquals(
                    "i-4", started(harness.endAttempt(start, BROKEN)).server().value());
        }

        @Test
        void isBrokenOffVisiblyWithoutAServerOfTheVersion() {
            ForwardEffect.StartForward start = begin(BLUE);
            listAndReport("i-2", GREEN);
            assertEquals(List.of(breakForward(start, "reset")), harness.endAttempt(start, BROKEN));
            assertEquals(0, harness.liveCalls());
        }

        /** The version that sent the first event counts, not that of the attempt that broke last. */
        @Test
        void keepsTheVersionOverSeveralAttempts() {
            ForwardEffect.StartForward first = begin(BLUE);
            listAndReport("i-2", BLUE);
            listAndReport("i-3", GREEN);
            ForwardEffect.StartForward second = started(harness.endAttempt(first, BROKEN));
            assertEquals("i-2", second.server().value());
            assertInstanceOf(
                    ForwardEffect.BreakForward.class,
                    harness.endAttempt(second, BROKEN).getLast());
        }

        @Test
        void goesToAnyVersionBeforeTheFirstEvent() {
            listAndReport("i-1", BLUE);
            ForwardEffect.StartForward start = started(arrive("/resume/1"));
            harness.startAnswer(start);
            listAndReport("i-2", GREEN);
            assertEquals(
                    "i-2", started(harness.endAttempt(start, BROKEN)).server().value());
        }

        @Test
        void goesFromAnUnstatedVersionToAnotherOnlyWhileThereIsNoOther() {
            ForwardEffect.StartForward start = begin(UNSTATED);
            harness.reportServer("i-2", 1, ServerPhase.READY, UNSTATED);
            ForwardEffect.StartForward second = started(harness.endAttempt(start, BROKEN));
            listAndReport("i-3", GREEN);
            harness.reportServer("i-4", 1, ServerPhase.READY, UNSTATED);
            assertInstanceOf(
                    ForwardEffect.BreakForward.class,
                    harness.endAttempt(second, BROKEN).getLast());
        }

        @Test
        void staysAtTheVersionAfterARefusalOfAContinuation() {
            ForwardEffect.StartForward first = begin(BLUE);
            listAndReport("i-2", BLUE);
            listAndReport("i-3", GREEN);
            ForwardEffect.StartForward second = started(harness.endAttempt(first, BROKEN));
            Failure failure =
                    refusal(harness.endAttempt(second, new ForwardOutcome.Refused(503, OptionalLong.empty())));
            assertTrue(failure.executionStatus() != ExecutionStatus.NO, failure.toString());
        }

        /** Crashes, resets and early ends at random over two to four versions; servers start again with others. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 118})
        void neverJoinsTwoVersions(long seed) {
            VersionedFleet fleet = VersionedFleet.create(seed);
            fleet.run(3_000);
            assertEquals(List.of(), fleet.joinedStreams());
            assertTrue(fleet.continuedStreams() > 20 && fleet.takenUpStreams() > 20, fleet.toString());
            fleet.stopArrivals();
            assertEquals(0, fleet.liveCalls(), fleet.toString());
        }
    }

    /** Guards against a stream that began with its cancellation, and that no daemon knows the origin of. */
    @Nested
    class Cancellations {
        @Test
        void atTheDeadlineKeepTheOriginOfAStreamThatBeginsMeanwhile() {
            listAndReport("i-1", BLUE);
            ForwardEffect.StartForward start = started(arrive("/resume/1"));
            harness.startAnswer(start);
            harness.advance(5_000);
            harness.tick();
            harness.run(new ForwardEvent.StreamBegan(start.ticket(), start.attempt()));
            assertEquals(
                    Optional.of(new StreamOrigin(ForwardHarness.SERVICE, BLUE)),
                    harness.board().origins().origin("id-" + start.ticket()));
        }
    }

    /** A server must not be taken for the version that ran under its id and address before. */
    @Nested
    class RestartsUnderTheSameId {
        private ForwardEffect.StartForward start() {
            listAndReport("i-1", BLUE);
            ForwardEffect.StartForward start = started(arrive("/resume/1"));
            listAndReport("i-2", BLUE);
            listAndReport("i-3", GREEN);
            return start;
        }

        private void assertBrokenOff(ForwardEffect.StartForward start) {
            assertEquals(List.of(breakForward(start, "reset")), harness.endAttempt(start, BROKEN));
        }

        /** The report of the new start arrives after the first event, when the record of the origin is kept already. */
        @Test
        void afterTheFirstEventLetNoCallerTakeTheStreamUpByItsRecord() {
            ForwardEffect.StartForward start = start();
            harness.beginStream(start);
            harness.reportServer("i-1", 2, ServerPhase.READY, GREEN);
            assertBrokenOff(start);
            assertEquals(List.of(), harness.takeUp("/resume/1", Optional.of("id-" + start.ticket()), 3_000));
        }

        /** The request may have reached the new start, whose version differs from the one it was sent for. */
        @Test
        void beforeTheFirstEventMakeTheStreamDoubtful() {
            ForwardEffect.StartForward start = start();
            harness.reportServer("i-1", 2, ServerPhase.READY, GREEN);
            harness.beginStream(start);
            assertEquals(
                    Optional.empty(),
                    harness.board().forward().call(start.ticket()).orElseThrow().origin());
            assertBrokenOff(start);
        }

        @Test
        void afterTheFirstEventMakeTheStreamDoubtful() {
            ForwardEffect.StartForward start = start();
            harness.beginStream(start);
            harness.reportServer("i-1", 2, ServerPhase.READY, GREEN);
            assertBrokenOff(start);
        }

        @Test
        void withTheSameVersionLetTheStreamGoOn() {
            ForwardEffect.StartForward start = start();
            harness.beginStream(start);
            harness.reportServer("i-1", 2, ServerPhase.READY, BLUE);
            assertEquals(
                    "i-2", started(harness.endAttempt(start, BROKEN)).server().value());
        }

        /** The continuation was sent to a server that had crashed, and that is back with another version. */
        @Test
        void endAContinuationBeforeItsFirstEvent() {
            ForwardEffect.StartForward start = start();
            harness.beginStream(start);
            ForwardEffect.StartForward second = started(harness.endAttempt(start, BROKEN));
            harness.reportServer("i-2", 2, ServerPhase.READY, GREEN);
            assertEquals(
                    List.of(
                            new ForwardEffect.CancelForward(second.ticket()),
                            breakForward(second, "the server started again with another version")),
                    harness.startAnswer(second));
            harness.endAttempt(second, new ForwardOutcome.Cancelled(0, false));
            assertEquals(0, harness.liveCalls());
        }

        /** The report of the new start arrives after the head of its answer. */
        @Test
        void endAContinuationAtItsFirstEvent() {
            ForwardEffect.StartForward start = start();
            harness.beginStream(start);
            ForwardEffect.StartForward second = started(harness.endAttempt(start, BROKEN));
            harness.startAnswer(second);
            harness.reportServer("i-2", 2, ServerPhase.READY, GREEN);
            assertEquals(
                    List.of(
                            new ForwardEffect.CancelForward(second.ticket()),
                            breakForward(second, "the server started again with another version")),
                    harness.run(new ForwardEvent.StreamBegan(second.ticket(), second.attempt())));
        }

        /** No event has reached the caller, so that it does not matter which start had the request. */
        @Test
        void withoutAnEventLetAnyVersionAnswer() {
            ForwardEffect.StartForward start = start();
            harness.startAnswer(start);
            harness.reportServer("i-1", 2, ServerPhase.READY, GREEN);
            started(harness.endAttempt(start, BROKEN));
        }

        /** A server that has crashed may be back with a version that it has not reported yet. */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void areRuledOutByAReportBeforeAStreamGoesThere(boolean connectionRefused) {
            ForwardEffect.StartForward start = start();
            harness.beginStream(start);
            harness.reportServer("i-3", 1, ServerPhase.GONE, GREEN);
            ForwardEffect.StartForward other = started(arrive("/resume/2"));
            while (!other.server().value().equals("i-2")) {
                other = started(arrive("/resume/2"));
            }
            harness.advance(100);
            harness.endAttempt(other, connectionRefused ? new ForwardOutcome.NotSent(true, "connect refused") : BROKEN);
            harness.advance(10);
            assertBrokenOff(start);
        }

        @Test
        void doNotKeepAServerFromStreamsThatHasReportedSince() {
            ForwardEffect.StartForward start = start();
            harness.beginStream(start);
            harness.board().forward().statistics(ServerId.of("i-2")).recordConnectionLost(harness.nowNanos());
            harness.advance(10);
            harness.reportServer("i-2", 1, ServerPhase.READY, BLUE);
            assertEquals(
                    "i-2", started(harness.endAttempt(start, BROKEN)).server().value());
        }
    }

    /** After a loss of all daemons, the list tells which versions can have begun a stream. */
    @Nested
    class VersionsThatAreNotListed {
        @Test
        void beginNoStreams() {
            listAndReport("i-1", BLUE);
            for (int server = 2; server < 6; server++) {
                harness.reportServer("i-" + server, 1, ServerPhase.READY, GREEN);
            }
            for (int index = 0; index < 20; index++) {
                assertEquals("i-1", started(arrive("/resume/" + index)).server().value());
            }
        }

        @Test
        void refuseStreamsForAShortTimeIfThereIsNoOther() {
            harness.reportServer("i-1", 1, ServerPhase.READY, GREEN);
            Failure failure = refusal(arrive("/resume/1"));
            assertEquals(ErrorKind.NO_SERVER_AVAILABLE, failure.kind());
            assertTrue(failure.retryAfter().orElseThrow().toMillis() <= 200, failure.toString());
        }

        @Test
        void answerOtherRequests() {
            harness.reportServer("i-1", 1, ServerPhase.READY, GREEN);
            assertEquals("i-1", started(arrive("/safe/1")).server().value());
        }
    }

    /** A caller that takes a stream up must get its rest from the version that began it, or a refusal. */
    @Nested
    class TakeUps {
        private static final Optional<String> FIRST = Optional.of("attempt-1");

        private OriginAnswer known(ServerVersion version) {
            return new OriginAnswer.Known(new StreamOrigin(ForwardHarness.SERVICE, version), OriginAnswer.Basis.RECORD);
        }

        /** Takes a stream up, and returns the ticket of the request once the question about its origin is asked. */
        private long takeUp() {
            assertEquals(List.of(), harness.takeUp("/resume/1", FIRST, 3_000));
            ForwardEvent.OriginRequested requested = harness.takeOriginRequest().orElseThrow();
            assertEquals(FIRST, requested.firstAttempt());
            return requested.ticket();
        }

        /** Lets enough time pass for this daemon to have heard of all servers. */
        private void waitForReports() {
            harness.advance(5_000);
            harness.tick();
        }

        @Test
        void goToTheVersionThatBegan() {
            for (int server = 1; server < 8; server++) {
                listAndReport("i-" + server, GREEN);
            }
            listAndReport("i-8", BLUE);
            ForwardEffect.StartForward start = started(harness.decideOrigin(takeUp(), known(BLUE)));
            assertEquals("i-8", start.server().value());
        }

        /** Neither before nor after the first event of its own may a stream that is taken up change its version. */
        @ParameterizedTest
        @ValueSource(booleans = {true, false})
        void thatBreakStayAtTheVersion(boolean events) {
            listAndReport("i-1", BLUE);
            listAndReport("i-2", GREEN);
            ForwardEffect.StartForward start = started(harness.decideOrigin(takeUp(), known(BLUE)));
            if (events) {
                harness.beginStream(start);
            }
            assertTrue(harness.endAttempt(start, BROKEN).stream()
                    .noneMatch(effect -> effect instanceof ForwardEffect.StartForward));
        }

        @Test
        void areRefusedForGoodWhenTheVersionIsGone() {
            listAndReport("i-1", GREEN);
            waitForReports();
            Failure failure = refusal(harness.decideOrigin(takeUp(), known(BLUE)));
            assertEquals(ErrorKind.STREAM_VERSION_GONE, failure.kind());
            assertEquals(ExecutionStatus.NO, failure.executionStatus());
            assertEquals(Optional.empty(), failure.retryAfter());
            assertEquals(0, harness.liveCalls());
        }

        /** Soon after its start a daemon has not heard of every server; a refusal for good would lose the stream. */
        @Test
        void areRefusedForAShortTimeWhileServersMayNotHaveReportedYet() {
            listAndReport("i-1", GREEN);
            Failure failure = refusal(harness.decideOrigin(takeUp(), known(BLUE)));
            assertEquals(ErrorKind.NO_SERVER_AVAILABLE, failure.kind());
            assertTrue(failure.retryAfter().isPresent());
        }

        /** A server that has crashed may return; only one that leaves does not. */
        @Test
        void tellServersThatHaveCrashedFromThoseThatLeave() {
            listAndReport("i-1", BLUE);
            listAndReport("i-2", GREEN);
            waitForReports();
            ForwardEffect.StartForward start = started(harness.decideOrigin(takeUp(), known(BLUE)));
            Failure crashed = refusal(harness.endAttempt(start, new ForwardOutcome.NotSent(true, "connect refused")));
            assertEquals(ErrorKind.NO_SERVER_AVAILABLE, crashed.kind());
            assertTrue(crashed.retryAfter().isPresent());
            harness.reportServer("i-1", 1, ServerPhase.LEAVING, BLUE);
            assertEquals(
                    ErrorKind.STREAM_VERSION_GONE,
                    refusal(harness.decideOrigin(takeUp(), known(BLUE))).kind());
        }

        @Test
        void areRefusedForAShortTimeWhenTheOriginIsUnknown() {
            listAndReport("i-1", BLUE);
            Failure failure = refusal(harness.decideOrigin(takeUp(), new OriginAnswer.Unknown()));
            assertEquals(ErrorKind.STREAM_ORIGIN_UNKNOWN, failure.kind());
            assertEquals(ExecutionStatus.NO, failure.executionStatus());
            assertTrue(failure.retryAfter().orElseThrow().toMillis() <= 100, failure.toString());
            assertEquals(0, harness.liveCalls());
        }

        @Test
        void areRefusedForGoodWhenTheServiceHasLeftTheRoute() {
            listAndReport("i-1", BLUE);
            StreamOrigin other = new StreamOrigin(ServiceName.of("former"), BLUE);
            Failure failure =
                    refusal(harness.decideOrigin(takeUp(), new OriginAnswer.Known(other, OriginAnswer.Basis.RECORD)));
            assertEquals(ErrorKind.STREAM_VERSION_GONE, failure.kind());
        }

        @Test
        void endAtTheirDeadlineWhileTheOriginIsSought() {
            listAndReport("i-1", BLUE);
            long ticket = takeUp();
            harness.advance(3_000);
            Failure failure = refusal(harness.tick());
            assertEquals(ExecutionStatus.NO, failure.executionStatus());
            assertEquals(0, harness.liveCalls());
            assertEquals(List.of(), harness.decideOrigin(ticket, known(BLUE)));
        }

        @Test
        void endWhenTheCallerLeavesWhileTheOriginIsSought() {
            listAndReport("i-1", BLUE);
            long ticket = takeUp();
            assertEquals(List.of(), harness.run(new ForwardEvent.ForwardLeft(ticket)));
            assertEquals(0, harness.liveCalls());
            assertEquals(List.of(), harness.decideOrigin(ticket, known(BLUE)));
        }

        /** A second decision must not send the request twice. */
        @Test
        void areDecidedOnce() {
            listAndReport("i-1", BLUE);
            listAndReport("i-2", BLUE);
            long ticket = takeUp();
            started(harness.decideOrigin(ticket, known(BLUE)));
            assertEquals(List.of(), harness.decideOrigin(ticket, known(BLUE)));
        }

        @Test
        void onRoutesWithoutResumptionAreForwardedLikeOtherRequests() {
            listAndReport("i-1", BLUE);
            started(harness.takeUp("/safe/1", FIRST, 3_000));
            assertEquals(Optional.empty(), harness.takeOriginRequest());
        }

        /** Callers that leave while the origin is sought must not use up the limit of their account. */
        @Test
        void thatDoNotRunAreRefunded() {
            ForwardHarness limited =
                    new ForwardHarness(List.of(ForwardHarness.route("/resume/", Repeatability.STREAM, 4, true)), 1_000);
            limited.applyDocument();
            limited.reportServer("i-1", ServerPhase.READY);
            for (int index = 0; index < 200; index++) {
                assertEquals(List.of(), limited.takeUp("/resume/1", FIRST, 3_000), "request " + index);
                long ticket = limited.takeOriginRequest().orElseThrow().ticket();
                if (index % 2 == 0) {
                    limited.run(new ForwardEvent.ForwardLeft(ticket));
                } else {
                    refusal(limited.decideOrigin(ticket, new OriginAnswer.Unknown()));
                }
            }
        }
    }
}
