package org.plantainwharf.retry;

import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.call.Origin;
import org.plantainwharf.decision.DecisionHarness;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerKind;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers given twice, unbounded retries, and wrong statements on whether a call ran. */
class AttemptControllerTest {
    private final DecisionHarness harness = DecisionHarness.create();

    private AttemptEffect.StartAttempt started(String request) {
        return harness.starts().stream()
                .filter(start -> start.call().id().equals(RequestId.of(request)))
                .reduce((first, second) -> second)
                .orElseThrow();
    }

    @Nested
    class Completion {
        @Test
        void finishesAStreamOnce() {
            harness.engine("s1", 2);
            harness.arrive(harness.modelCall("r1", "big", "urgent"));
            AttemptEffect.StartAttempt start = started("r1");
            assertTrue(harness.complete(start).contains(new CallEffect.FinishStream(RequestId.of("r1"))));
            assertFalse(harness.complete(start).contains(new CallEffect.FinishStream(RequestId.of("r1"))));
            assertEquals(0, harness.board().calls().size());
        }

        @Test
        void leavesAcceptedWorkToTheRecordPackage() {
            harness.engine("s1", 2);
            harness.arrive(harness.call(
                    "w1",
                    "big",
                    "batch",
                    new CallKind.LongWork(new CallKind.Model(DecisionHarness.MODEL, 10, 10, List.of(), false)),
                    new Origin.AcceptedWork(1, 1)));
            harness.complete(started("w1"));
            assertTrue(harness.board().calls().call(RequestId.of("w1")).isPresent());
        }
    }

    @Nested
    class Retries {
        @Test
        void resumeOnAnotherServerFromTheReceivedTokens() {
            harness.engine("s1", 2);
            harness.engine("s2", 2);
            harness.arrive(harness.modelCall("r1", "big", "urgent"));
            AttemptEffect.StartAttempt first = started("r1");
            harness.run(new AttemptEvent.AttemptSent(first.attempt()));
            harness.run(new AttemptEvent.FirstTokenReceived(first.attempt()));
            harness.run(new AttemptEvent.TokensReceived(first.attempt(), 6));
            harness.fail(first, new AttemptProblem.ConnectionLost(), 9);
            AttemptEffect.StartAttempt second = started("r1");
            assertEquals(9, second.resumeTokenCount());
            assertNotEquals(first.server(), second.server());
            assertEquals(109, harness.counter("tokens.recomputed.connection_lost"));
            assertEquals(1, harness.counter("retries.connection_lost"));
        }

        @Test
        void ignoreLateEventsOfAnOldAttempt() {
            harness.engine("s1", 2);
            harness.engine("s2", 2);
            harness.arrive(harness.modelCall("r1", "big", "urgent"));
            AttemptEffect.StartAttempt first = started("r1");
            harness.fail(first, new AttemptProblem.ConnectionSilent(), 0);
            harness.run(new AttemptEvent.TokensReceived(first.attempt(), 5));
            harness.run(new AttemptEvent.AttemptCompleted(first.attempt(), 200, Option.none(), 5));
            assertEquals(
                    0,
                    harness.board()
                            .calls()
                            .call(RequestId.of("r1"))
                            .orElseThrow()
                            .tokensReceived());
            assertEquals(1, harness.counter("attempts.late_completions"));
            harness.complete(started("r1"));
            assertEquals(0, harness.board().calls().size());
        }

        @Test
        void neverRepeatAnOrderThatMayHaveRun() {
            stockServer("p1");
            stockServer("p2");
            harness.arrive(order("o1"));
            CallEntry entry = harness.board().calls().call(RequestId.of("o1")).orElseThrow();
            harness.board().calls().advance(entry, new CallState.Ready(harness.nowNanos()));
            harness.advanceMillis(50);
            harness.fail(started("o1"), new AttemptProblem.RefusedBeforeRunning(false), 0);
            assertEquals(2, harness.starts().size(), "an order whose attempt did not run is repeated");
            harness.fail(started("o1"), new AttemptProblem.ConnectionLost(), 0);
            harness.run(new CallEvent.CallerLeft(RequestId.of("o1")));
            harness.advanceMillis(12_000);
            assertEquals(2, harness.starts().size());
            assertTrue(harness.failure("o1").isEmpty(), "the record package ends the order");
        }

        @Test
        void endWithNotRunForAnOrderThatFoundNoServerInTime() {
            stockServer("p1");
            harness.arrive(order("o1"));
            CallEntry entry = harness.board().calls().call(RequestId.of("o1")).orElseThrow();
            harness.board().calls().advance(entry, new CallState.Ready(harness.nowNanos()));
            harness.advanceMillis(50);
            harness.fail(started("o1"), new AttemptProblem.ConnectFailed(), 0);
            harness.board().servers().server(ServerId.of("p1")).orElseThrow().endLease(harness.nowNanos());
            harness.advanceMillis(10_000);
            assertEquals(ExecutionStatus.NO, harness.failure("o1").orElseThrow().executionStatus());
            assertEquals(0, harness.board().calls().size());
        }

        private void stockServer(String name) {
            harness.announce(
                    new Announcement(
                            ServerId.of(name),
                            1,
                            1,
                            "127.0.0.1:2",
                            DecisionHarness.ZONE_A,
                            DecisionHarness.CLASS,
                            new ServerKind.PlainService(Set.of(DecisionHarness.STOCK)),
                            1,
                            LoadReport.idle(),
                            false),
                    3_600_000);
        }

        private Call order(String id) {
            return harness.call(
                    id,
                    "big",
                    "urgent",
                    new CallKind.Order(DecisionHarness.STOCK, IdempotencyKey.of(id)),
                    new Origin.Caller());
        }

        @Test
        void reportUnknownWhenOneOfSeveralAttemptsMayHaveRun() {
            harness.engine("s1", 2);
            harness.arrive(harness.modelCall("r1", "big", "urgent"));
            harness.fail(started("r1"), new AttemptProblem.ConnectionLost(), 0);
            harness.advanceMillis(600);
            harness.fail(started("r1"), new AttemptProblem.RefusedBeforeRunning(false), 0);
            harness.advanceMillis(11_000);
            Failure failure = harness.failure("r1").orElseThrow();
            assertEquals(ExecutionStatus.UNKNOWN, failure.executionStatus());
        }

        @Test
        void stayWithinTheBudgetWhenAZoneIsLost() {
            for (int server = 0; server < 8; server++) {
                harness.announce(
                        "s" + server,
                        server < 4 ? DecisionHarness.ZONE_A : DecisionHarness.ZONE_B,
                        1,
                        100,
                        LoadReport.idle());
            }
            for (int call = 0; call < 200; call++) {
                harness.arrive(harness.modelCall("r" + call, "big", call % 2 == 0 ? "urgent" : "normal"));
            }
            List<AttemptEffect.StartAttempt> before = harness.starts();
            for (AttemptEffect.StartAttempt start : before) {
                harness.run(new AttemptEvent.AttemptSent(start.attempt()));
            }
            for (AttemptEffect.StartAttempt start : before) {
                if (Integer.parseInt(start.server().value().substring(1)) < 4) {
                    harness.fail(start, new AttemptProblem.ConnectionLost(), 3);
                }
            }
            harness.advanceMillis(3_000);
            long retries = harness.starts().size() - before.size();
            assertTrue(retries > 0, "some calls are repeated");
            assertTrue(retries <= before.size() / 10 + 1, "retries within a tenth of the attempts: " + retries);
            assertTrue(
                    harness.counter("errors.retry_budget_exhausted") > 0, "calls without a retry fail with this error");
        }
    }

    @Nested
    class EndedCalls {
        @Test
        void cancelTheAttemptWhenTheCallerLeaves() {
            harness.engine("s1", 1);
            harness.arrive(harness.modelCall("r1", "big", "urgent"));
            AttemptEffect.StartAttempt start = started("r1");
            assertTrue(harness.run(new CallEvent.CallerLeft(RequestId.of("r1")))
                    .contains(new AttemptEffect.CancelAttempt(start.attempt())));
            harness.fail(start, new AttemptProblem.Cancelled(true), 0);
            assertEquals(
                    0,
                    harness.board()
                            .servers()
                            .server(ServerId.of("s1"))
                            .orElseThrow()
                            .inFlight());
        }

        @Test
        void cancelTheAttemptAtTheDeadline() {
            harness.engine("s1", 1);
            harness.arrive(harness.modelCall("r1", "big", "urgent"));
            AttemptEffect.StartAttempt start = started("r1");
            harness.advanceMillis(10_000);
            assertTrue(harness.effects().contains(new AttemptEffect.CancelAttempt(start.attempt())));
            assertEquals(
                    ErrorKind.DEADLINE_EXCEEDED,
                    harness.failure("r1").orElseThrow().kind());
        }
    }
}
