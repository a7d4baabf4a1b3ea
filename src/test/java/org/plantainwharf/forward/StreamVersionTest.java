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
import org.plantainwharf.identity.ServerVersion;
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
            assertEquals(List.of(new ForwardEffect.BreakForward(start.ticket())), harness.endAttempt(start, BROKEN));
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

        /** Crashes, resets and early ends at random over two to four versions and servers that state none. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void neverJoinsTwoVersions(long seed) {
            VersionedFleet fleet = VersionedFleet.create(seed);
            fleet.run(3_000);
            assertEquals(List.of(), fleet.joinedStreams());
            assertTrue(fleet.continuedStreams() > 20, fleet.toString());
            fleet.stopArrivals();
            assertEquals(0, fleet.liveCalls(), fleet.toString());
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
}
