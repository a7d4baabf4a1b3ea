package org.plantainwharf.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.error.Ran;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.registry.ServerPhase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ForwardControllerTest {
    private final ForwardHarness harness = new ForwardHarness(
            List.of(
                    ForwardHarness.route("/safe/", Repeatability.SAFE, 2, false),
                    ForwardHarness.route("/once/", Repeatability.ONCE, 2, false),
                    ForwardHarness.route("/stream/", Repeatability.STREAM, 2, false),
                    ForwardHarness.route("/resume/", Repeatability.STREAM, 2, true)),
            1_000_000);

    @BeforeEach
    void startWithThreeServers() {
        harness.putDocumentInForce();
        harness.report("i-1", ServerPhase.READY);
        harness.report("i-2", ServerPhase.READY);
        harness.report("i-3", ServerPhase.READY);
    }

    private static Failure refusal(List<ForwardEffect> effects) {
        return ((ForwardEffect.RefuseForward) effects.getLast()).failure();
    }

    private static ForwardEffect.StartForward started(List<ForwardEffect> effects) {
        return (ForwardEffect.StartForward) effects.getLast();
    }

    private static ForwardOutcome refused() {
        return new ForwardOutcome.Refused(503, OptionalLong.empty());
    }

    private static ForwardOutcome broken(boolean begun) {
        return new ForwardOutcome.Broken(begun, "reset");
    }

    /** A request that may run once must not be sent again, or denied, once a byte of it was handed over. */
    @Nested
    class RequestsThatRunOnce {
        @Test
        void areNotSentAgainAfterTheirConnectionBroke() {
            Failure failure = refusal(harness.end(harness.arriveAndStart("/once/1"), broken(false)));
            assertNotEquals(Ran.NO, failure.ran());
            assertEquals(502, failure.kind().httpStatus());
        }

        @Test
        void passOnTheServersOwnFailure() {
            List<ForwardEffect> effects =
                    harness.end(harness.arriveAndStart("/once/1"), new ForwardOutcome.Failed(500));
            assertTrue(effects.getLast() instanceof ForwardEffect.PassFailure);
        }

        @Test
        void areSentToAnotherServerWhenNoByteWasHandedOver() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/once/1");
            ForwardEffect.StartForward second =
                    started(harness.end(first, new ForwardOutcome.NotSent("connect refused")));
            assertNotEquals(first.server(), second.server());
        }

        @Test
        void areSentToAnotherServerWhenTheFirstRefused() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/once/1");
            assertNotEquals(
                    first.server(), started(harness.end(first, refused())).server());
        }

        @Test
        void areDeniedTruthfullyWhenEveryServerRefused() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/once/1");
            ForwardEffect.StartForward second = started(harness.end(first, refused()));
            ForwardEffect.StartForward third = started(harness.end(second, refused()));
            Failure failure = refusal(harness.end(third, refused()));
            assertEquals(Ran.NO, failure.ran());
            assertTrue(failure.retryAfter().orElseThrow().toMillis() <= 1_000);
            assertEquals(0, harness.liveCalls());
        }
    }

    @Nested
    class RepeatableRequests {
        @Test
        void runOnNoMoreServersThanTheRouteAllows() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            ForwardEffect.StartForward second = started(harness.end(first, broken(false)));
            Failure failure = refusal(harness.end(second, broken(false)));
            assertEquals(502, failure.kind().httpStatus());
        }

        /** The caller has the first server's headers already; another server's body must not follow them. */
        @Test
        void areBrokenOffOnceTheirAnswerHasBegun() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            harness.begin(first);
            assertEquals(List.of(new ForwardEffect.BreakForward(first.ticket())), harness.end(first, broken(true)));
        }

        @Test
        void areNotDeniedAfterAnAttemptThatMayHaveRun() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            ForwardEffect.StartForward second = started(harness.end(first, broken(false)));
            ForwardEffect.StartForward third = started(harness.end(second, refused()));
            assertNotEquals(Ran.NO, refusal(harness.end(third, refused())).ran());
        }

        @Test
        void handTheSecondServerOnlyTheTimeThatIsLeft() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            harness.pass(700);
            ForwardEffect.StartForward second = started(harness.end(first, broken(false)));
            assertEquals(3_000, first.remainingMillis());
            assertEquals(2_300, second.remainingMillis());
        }

        @Test
        void stopRepeatingWhenTheBudgetIsSpent() {
            int repeats = 0;
            for (int index = 0; index < 60; index++) {
                ForwardEffect.StartForward first = harness.arriveAndStart("/safe/" + index);
                if (harness.end(first, broken(false)).getLast() instanceof ForwardEffect.StartForward) {
                    repeats++;
                }
            }
            assertTrue(repeats >= 10 && repeats <= 30, repeats + " repeats of 60 requests");
        }
    }

    @Nested
    class Streams {
        @Test
        void thatMayNotResumeEndWithTheirConnection() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/stream/1");
            harness.begin(start);
            assertTrue(harness.end(start, broken(true)).getLast() instanceof ForwardEffect.BreakForward);
        }

        @Test
        void thatMayResumeGoOnAtAnotherServer() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/resume/1");
            harness.begin(start);
            ForwardEffect.StartForward second = started(harness.end(start, broken(true)));
            assertNotEquals(start.server(), second.server());
            assertTrue(second.resumable());
        }
    }

    @Nested
    class Time {
        @Test
        void endsARequestWithoutAnAnswer() {
            harness.arriveAndStart("/safe/1");
            harness.pass(3_000);
            List<ForwardEffect> effects = harness.tick();
            assertTrue(effects.getFirst() instanceof ForwardEffect.CancelForward);
            assertEquals(ErrorKind.DEADLINE_EXCEEDED, refusal(effects).kind());
        }

        @Test
        void ofTheRouteEndsARequestWhoseCallerWouldWaitLonger() {
            harness.arrive("/safe/1", Optional.of(ForwardHarness.KEY), 60_000);
            harness.pass(5_000);
            assertEquals(ErrorKind.DEADLINE_EXCEEDED, refusal(harness.tick()).kind());
        }

        @Test
        void breaksAnAnswerThatHasBegun() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/stream/1");
            harness.begin(start);
            harness.pass(3_000);
            assertTrue(harness.tick().getLast() instanceof ForwardEffect.BreakForward);
        }
    }

    @Nested
    class CallersWhoLeave {
        @Test
        void endTheServersWorkAndAreNotAnswered() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/safe/1");
            List<ForwardEffect> effects = harness.run(new ForwardEvent.ForwardLeft(start.ticket()));
            assertEquals(List.of(new ForwardEffect.CancelForward(start.ticket())), effects);
            assertEquals(List.of(), harness.end(start, new ForwardOutcome.Cancelled(0, false)));
            assertEquals(0, harness.liveCalls());
        }

        @Test
        void causeNoRepeatWhenTheAttemptBreaksMeanwhile() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/safe/1");
            harness.run(new ForwardEvent.ForwardLeft(start.ticket()));
            assertEquals(List.of(), harness.end(start, broken(false)));
        }
    }

    @Nested
    class Refusals {
        @Test
        void nameUnknownRoutesAndKeys() {
            assertEquals(
                    ErrorKind.UNKNOWN_ROUTE,
                    refusal(harness.arrive("/none/1", Optional.of(ForwardHarness.KEY), 1_000))
                            .kind());
            assertEquals(
                    ErrorKind.UNAUTHENTICATED,
                    refusal(harness.arrive("/safe/1", Optional.of("stolen"), 1_000))
                            .kind());
            assertEquals(
                    ErrorKind.UNAUTHENTICATED,
                    refusal(harness.arrive("/safe/1", Optional.empty(), 1_000)).kind());
        }

        @Test
        void beforeAnyDocumentDoNotDenyTheRoute() {
            ForwardHarness fresh = new ForwardHarness(List.of(), 1);
            assertEquals(
                    ErrorKind.CONFIGURATION_MISSING,
                    refusal(fresh.arrive("/safe/1", Optional.of(ForwardHarness.KEY), 1_000))
                            .kind());
        }

        @Test
        void overTheLimitSayWhenToComeBackWithinTheCallersTime() {
            ForwardHarness limited =
                    new ForwardHarness(List.of(ForwardHarness.route("/safe/", Repeatability.SAFE, 1, false)), 1_000);
            limited.putDocumentInForce();
            limited.report("i-1", ServerPhase.READY);
            for (int index = 0; index < 100; index++) {
                List<ForwardEffect> effects = limited.arrive("/safe/1", Optional.of(ForwardHarness.KEY), 900);
                if (effects.getLast() instanceof ForwardEffect.RefuseForward refuse) {
                    assertEquals(
                            ErrorKind.ACCOUNT_LIMIT_EXCEEDED, refuse.failure().kind());
                    assertTrue(refuse.failure().retryAfter().orElseThrow().toMillis() <= 300);
                    return;
                }
            }
            throw new AssertionError("100 requests of 200 tokens passed a limit of 1000 tokens a second");
        }
    }

    @Nested
    class LeavingServers {
        @Test
        void getNoNewRequests() {
            harness.report("i-1", ServerPhase.LEAVING);
            harness.report("i-2", ServerPhase.GONE);
            for (int index = 0; index < 20; index++) {
                assertEquals(
                        "i-3", harness.arriveAndStart("/safe/" + index).server().value());
            }
        }
    }

    @Nested
    class SilentServers {
        private ForwardEffect.StartForward startAt(String server) {
            for (int index = 0; index < 20; index++) {
                ForwardEffect.StartForward start = harness.arriveAndStart("/safe/" + index);
                if (start.server().value().equals(server)) {
                    return start;
                }
            }
            throw new AssertionError("no request went to " + server);
        }

        private boolean chosen(String server) {
            boolean chosen = false;
            for (int index = 0; index < 20; index++) {
                ForwardEffect.StartForward start = harness.arriveAndStart("/safe/" + index);
                chosen |= start.server().value().equals(server);
            }
            return chosen;
        }

        /** A server that went dark keeps its connections; each request sent there is lost to its deadline. */
        @Test
        void getNoNewRequestsWhileOneIsOverdue() {
            String silent = harness.arriveAndStart("/safe/1").server().value();
            harness.pass(700);
            harness.tick();
            assertFalse(chosen(silent), silent);
        }

        /** A long request alone does not show that its server is silent. */
        @Test
        void areNotThoseThatAnswerOthers() {
            ForwardEffect.StartForward overdue = harness.arriveAndStart("/safe/1");
            String server = overdue.server().value();
            harness.pass(500);
            ForwardEffect.StartForward answered = startAt(server);
            harness.begin(answered);
            harness.pass(200);
            harness.tick();
            harness.end(answered, new ForwardOutcome.Completed());
            harness.end(overdue, new ForwardOutcome.Completed());
            assertTrue(chosen(server), server);
        }

        @Test
        void areTriedAgainAfterAWhile() {
            ForwardEffect.StartForward overdue = harness.arriveAndStart("/safe/1");
            harness.pass(700);
            harness.tick();
            harness.end(overdue, new ForwardOutcome.Completed());
            harness.pass(1_100);
            harness.tick();
            assertTrue(chosen(overdue.server().value()));
        }
    }
}
