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
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.registry.ServerPhase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests that run more often than their route allows, errors that wrongly report a request as not run,
 * and requests sent to servers that do not answer.
 */
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
        harness.applyDocument();
        harness.reportServer("i-1", ServerPhase.READY);
        harness.reportServer("i-2", ServerPhase.READY);
        harness.reportServer("i-3", ServerPhase.READY);
    }

    private static Failure refusal(List<ForwardEffect> effects) {
        return ((ForwardEffect.RefuseForward) effects.getLast()).failure();
    }

    private static ForwardEffect.StartForward started(List<ForwardEffect> effects) {
        return (ForwardEffect.StartForward) effects.getLast();
    }

    private static ForwardOutcome refusedOutcome() {
        return new ForwardOutcome.Refused(503, OptionalLong.empty());
    }

    private static ForwardOutcome brokenOutcome(boolean begun) {
        return new ForwardOutcome.Broken(begun, true, "reset");
    }

    /** Once a byte of such a request was sent, it must be neither retried nor reported as not run. */
    @Nested
    class NonRepeatableRequests {
        @Test
        void areNotRetriedAfterABrokenConnection() {
            Failure failure = refusal(harness.endAttempt(harness.arriveAndStart("/once/1"), brokenOutcome(false)));
            assertNotEquals(ExecutionStatus.NO, failure.executionStatus());
            assertEquals(502, failure.kind().httpStatus());
        }

        @Test
        void receiveTheServersErrorResponse() {
            List<ForwardEffect> effects =
                    harness.endAttempt(harness.arriveAndStart("/once/1"), new ForwardOutcome.Failed(500));
            assertTrue(effects.getLast() instanceof ForwardEffect.PassFailure);
        }

        @Test
        void areRetriedWhenNoByteWasSent() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/once/1");
            ForwardEffect.StartForward second =
                    started(harness.endAttempt(first, new ForwardOutcome.NotSent(true, "connect refused")));
            assertNotEquals(first.server(), second.server());
        }

        @Test
        void areRetriedWhenTheServerRefused() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/once/1");
            assertNotEquals(
                    first.server(),
                    started(harness.endAttempt(first, refusedOutcome())).server());
        }

        @Test
        void areReportedAsNotRunWhenEveryServerRefused() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/once/1");
            ForwardEffect.StartForward second = started(harness.endAttempt(first, refusedOutcome()));
            ForwardEffect.StartForward third = started(harness.endAttempt(second, refusedOutcome()));
            Failure failure = refusal(harness.endAttempt(third, refusedOutcome()));
            assertEquals(ExecutionStatus.NO, failure.executionStatus());
            assertTrue(failure.retryAfter().orElseThrow().toMillis() <= 1_000);
            assertEquals(0, harness.liveCalls());
        }
    }

    @Nested
    class RepeatableRequests {
        @Test
        void areNotRetriedBeyondTheMaximumAttemptsOfTheRoute() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            ForwardEffect.StartForward second = started(harness.endAttempt(first, brokenOutcome(false)));
            Failure failure = refusal(harness.endAttempt(second, brokenOutcome(false)));
            assertEquals(502, failure.kind().httpStatus());
        }

        /** The caller has received the first server's headers; the body of another server must not follow them. */
        @Test
        void areAbortedOnceTheAnswerHasStarted() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            harness.startAnswer(first);
            assertEquals(
                    List.of(new ForwardEffect.BreakForward(
                            first.ticket(), Failure.of(ErrorKind.SERVER_FAILED, "reset"))),
                    harness.endAttempt(first, brokenOutcome(true)));
        }

        /** The last server did not run the request, but the first may have; the caller must not repeat it as unrun. */
        @Test
        void reportAPossibleRunIfAnEarlierAttemptMayHaveRun() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            ForwardEffect.StartForward second = started(harness.endAttempt(first, brokenOutcome(false)));
            ForwardEffect.StartForward third = started(harness.endAttempt(second, refusedOutcome()));
            assertNotEquals(
                    ExecutionStatus.NO,
                    refusal(harness.endAttempt(third, refusedOutcome())).executionStatus());
        }

        /** Callers who leave early must not have sound servers avoided. */
        @Test
        void thatWereWithheldAreNotRunAndBlameNoServer() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            Failure failure = refusal(harness.endAttempt(
                    first, new ForwardOutcome.Withheld(ForwardOutcome.Withheld.Reason.DEADLINE_PASSED)));
            assertEquals(ExecutionStatus.NO, failure.executionStatus());
            assertFalse(harness.board().forward().statistics(first.server()).isAvoided(harness.nowNanos()));
        }

        @Test
        void passOnlyTheRemainingTimeToTheSecondServer() {
            ForwardEffect.StartForward first = harness.arriveAndStart("/safe/1");
            assertEquals(3_000, first.remainingMillis(harness.nowNanos()));
            harness.advance(700);
            ForwardEffect.StartForward second = started(harness.endAttempt(first, brokenOutcome(false)));
            assertEquals(2_300, second.remainingMillis(harness.nowNanos()));
        }

        /**
         * The harness allows 10 retries in ten seconds or half as many as requests, whichever is more: at most 30 for
         * 60 requests. Without this bound, retries would add to the load of servers that are already failing.
         */
        @Test
        void areNotRetriedBeyondTheRetryBudget() {
            int retries = 0;
            for (int index = 0; index < 60; index++) {
                ForwardEffect.StartForward first = harness.arriveAndStart("/safe/" + index);
                if (harness.endAttempt(first, brokenOutcome(false)).getLast() instanceof ForwardEffect.StartForward) {
                    retries++;
                }
            }
            assertTrue(retries >= 10 && retries <= 30, retries + " retries for 60 requests");
        }
    }

    @Nested
    class Streams {
        @Test
        void thatAreNotResumableAreAbortedWhenTheConnectionBreaks() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/stream/1");
            harness.startAnswer(start);
            assertTrue(harness.endAttempt(start, brokenOutcome(true)).getLast() instanceof ForwardEffect.BreakForward);
        }

        @Test
        void thatAreResumableContinueOnAnotherServer() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/resume/1");
            harness.startAnswer(start);
            ForwardEffect.StartForward second = started(harness.endAttempt(start, brokenOutcome(true)));
            assertNotEquals(start.server(), second.server());
            assertTrue(second.resumable());
        }
    }

    @Nested
    class Deadlines {
        @Test
        void endRequestsWithoutAnAnswer() {
            harness.arriveAndStart("/safe/1");
            harness.advance(3_000);
            List<ForwardEffect> effects = harness.tick();
            assertTrue(effects.getFirst() instanceof ForwardEffect.CancelForward);
            assertEquals(ErrorKind.DEADLINE_EXCEEDED, refusal(effects).kind());
        }

        @Test
        void areLimitedByTheTimeoutOfTheRoute() {
            harness.arrive("/safe/1", Optional.of(ForwardHarness.KEY), 60_000);
            harness.advance(5_000);
            assertEquals(ErrorKind.DEADLINE_EXCEEDED, refusal(harness.tick()).kind());
        }

        @Test
        void abortAnswersThatHaveStarted() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/stream/1");
            harness.startAnswer(start);
            harness.advance(3_000);
            assertTrue(harness.tick().getLast() instanceof ForwardEffect.BreakForward);
        }
    }

    @Nested
    class DisconnectedCallers {
        @Test
        void cancelTheAttemptAndReceiveNoAnswer() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/safe/1");
            List<ForwardEffect> effects = harness.run(new ForwardEvent.ForwardLeft(start.ticket()));
            assertEquals(List.of(new ForwardEffect.CancelForward(start.ticket())), effects);
            assertEquals(List.of(), harness.endAttempt(start, new ForwardOutcome.Cancelled(0, false)));
            assertEquals(0, harness.liveCalls());
        }

        @Test
        void causeNoRetryWhenTheAttemptBreaks() {
            ForwardEffect.StartForward start = harness.arriveAndStart("/safe/1");
            harness.run(new ForwardEvent.ForwardLeft(start.ticket()));
            assertEquals(List.of(), harness.endAttempt(start, brokenOutcome(false)));
        }
    }

    @Nested
    class Refusals {
        @Test
        void reportUnknownRoutesAndInvalidKeysAsDifferentErrors() {
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
        void reportAMissingConfigurationBeforeTheFirstDocument() {
            ForwardHarness fresh = new ForwardHarness(List.of(), 1);
            assertEquals(
                    ErrorKind.CONFIGURATION_MISSING,
                    refusal(fresh.arrive("/safe/1", Optional.of(ForwardHarness.KEY), 1_000))
                            .kind());
        }

        /**
         * Callers that were told to return after a fixed second found no document again after a loss of all daemons, and
         * had no further try.
         */
        @Test
        void beforeTheFirstDocumentSendCallersBackWhenItIsExpected() {
            ForwardHarness fresh = new ForwardHarness(List.of(), 1);
            long first = returnMillis(fresh, 9_000);
            assertTrue(first >= 1_400 && first <= 1_600, "first " + first);
            fresh.advance(900);
            long later = returnMillis(fresh, 9_000);
            assertTrue(later >= 500 && later <= 700, "later " + later);
            assertEquals(400, returnMillis(fresh, 1_200));
            fresh.advance(5_000);
            long late = returnMillis(fresh, 9_000);
            assertTrue(late >= 200 && late <= 400, "late " + late);
        }

        private long returnMillis(ForwardHarness fresh, long deadlineMillis) {
            return refusal(fresh.arrive("/safe/1", Optional.of(ForwardHarness.KEY), deadlineMillis))
                    .retryAfter()
                    .orElseThrow()
                    .toMillis();
        }

        @Test
        void overTheLimitSendRetryAfterOfAtMostAThirdOfTheDeadline() {
            ForwardHarness limited =
                    new ForwardHarness(List.of(ForwardHarness.route("/safe/", Repeatability.SAFE, 1, false)), 1_000);
            limited.applyDocument();
            limited.reportServer("i-1", ServerPhase.READY);
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
        void receiveNoNewRequests() {
            harness.reportServer("i-1", ServerPhase.LEAVING);
            harness.reportServer("i-2", ServerPhase.GONE);
            for (int index = 0; index < 20; index++) {
                assertEquals(
                        "i-3", harness.arriveAndStart("/safe/" + index).server().value());
            }
        }
    }

    @Nested
    class UnresponsiveServers {
        private ForwardEffect.StartForward startOn(String server) {
            for (int index = 0; index < 20; index++) {
                ForwardEffect.StartForward start = harness.arriveAndStart("/safe/" + index);
                if (start.server().value().equals(server)) {
                    return start;
                }
            }
            throw new AssertionError("no request went to " + server);
        }

        private boolean receivesRequests(String server) {
            boolean chosen = false;
            for (int index = 0; index < 20; index++) {
                ForwardEffect.StartForward start = harness.arriveAndStart("/safe/" + index);
                chosen |= start.server().value().equals(server);
            }
            return chosen;
        }

        /** A server that stops without closing its connections lets each request sent to it run into its deadline. */
        @Test
        void receiveNoNewRequestsWhileOneIsOverdue() {
            String unresponsive = harness.arriveAndStart("/safe/1").server().value();
            harness.advance(700);
            harness.tick();
            assertFalse(receivesRequests(unresponsive), unresponsive);
        }

        /** One slow request alone does not show that its server is unresponsive. */
        @Test
        void doNotIncludeServersThatAnswerOtherRequests() {
            ForwardEffect.StartForward overdue = harness.arriveAndStart("/safe/1");
            String server = overdue.server().value();
            harness.advance(500);
            ForwardEffect.StartForward answered = startOn(server);
            harness.startAnswer(answered);
            harness.advance(200);
            harness.tick();
            harness.endAttempt(answered, new ForwardOutcome.Completed(false));
            harness.endAttempt(overdue, new ForwardOutcome.Completed(false));
            assertTrue(receivesRequests(server), server);
        }

        @Test
        void areUsedAgainAfterTheAvoidancePeriod() {
            ForwardEffect.StartForward overdue = harness.arriveAndStart("/safe/1");
            harness.advance(700);
            harness.tick();
            harness.endAttempt(overdue, new ForwardOutcome.Completed(false));
            harness.advance(1_100);
            harness.tick();
            assertTrue(receivesRequests(overdue.server().value()));
        }
    }
}
