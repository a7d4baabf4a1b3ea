package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.handover.ReachController;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.ServerPhase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that are lost, run twice, or charged twice because another entry daemon serves them. */
class HandoverTest {
    private static final Set<String> SERVERS = Set.of("i-1", "i-2", "i-3");

    private final ForwardHarness harness = cutOff(1_000_000);

    /** Returns a daemon that is cut off from its servers and knows two others. */
    private static ForwardHarness cutOff(double tokensPerSecond) {
        ForwardHarness harness = new ForwardHarness(
                List.of(
                        ForwardHarness.route("/safe/", Repeatability.SAFE, 2, false),
                        ForwardHarness.route("/once/", Repeatability.ONCE, 2, false)),
                tokensPerSecond,
                controllers -> {
                    List<Controller> all = new ArrayList<>(controllers);
                    all.addFirst(ReachController.create("10.0.0.1:80"));
                    return all;
                },
                (controller, event, cause) -> {
                    throw new AssertionError(controller + " failed at " + event, cause);
                });
        harness.applyDocument();
        SERVERS.forEach(server -> harness.reportServer(server, ServerPhase.READY));
        SERVERS.forEach(server -> harness.run(ForwardEvent.ConnectionChecked.of(ServerId.of(server), false)));
        harness.advance(100);
        SERVERS.forEach(server -> harness.reportServer(server, ServerPhase.READY));
        harness.tick();
        harness.run(new PeerEvent.PeerMessageReceived(
                HostId.of("core-1"), 1, new PeerMessage.Helpers(List.of("10.0.0.2:80", "10.0.0.3:80"))));
        return harness;
    }

    private ForwardEffect.HandOver handOver(String path) {
        return assertInstanceOf(
                ForwardEffect.HandOver.class,
                harness.arrive(path, Optional.of(ForwardHarness.KEY), 3_000).getLast());
    }

    private List<ForwardEffect> end(ForwardEffect.HandOver handOver, ForwardOutcome outcome) {
        return harness.run(
                new ForwardEvent.ForwardEnded(handOver.ticket(), handOver.attempt(), outcome, Optional.empty()));
    }

    private static ForwardOutcome refused(int status) {
        return new ForwardOutcome.Refused(status, OptionalLong.empty());
    }

    private static Failure failure(List<ForwardEffect> effects) {
        return assertInstanceOf(ForwardEffect.RefuseForward.class, effects.getLast())
                .failure();
    }

    @Nested
    class RefusedByTheOtherDaemon {
        @Test
        void goToAnotherOneOnce() {
            ForwardEffect.HandOver first = handOver("/once/1");
            ForwardEffect.HandOver second = assertInstanceOf(
                    ForwardEffect.HandOver.class, end(first, refused(503)).getLast());
            assertTrue(!second.address().equals(first.address()));
            assertInstanceOf(
                    ForwardEffect.PassFailure.class, end(second, refused(503)).getLast());
            assertEquals(0, harness.liveCalls());
        }

        @Test
        void beyondTheLimitOfTheirAccountPassTheRefusalOn() {
            assertInstanceOf(
                    ForwardEffect.PassFailure.class,
                    end(handOver("/once/1"), refused(429)).getLast());
        }
    }

    @Nested
    class LostOnTheWay {
        /** The other daemon may have sent them to as many servers as their route allows. */
        @ParameterizedTest
        @ValueSource(strings = {"/once/1", "/safe/1"})
        void areNotSentAgainAndNotSaidNotToHaveRun(String path) {
            Failure failure = failure(end(handOver(path), new ForwardOutcome.Broken(false, true, "reset")));
            assertEquals(ErrorKind.SERVER_FAILED, failure.kind());
            assertEquals(ExecutionStatus.UNKNOWN, failure.executionStatus());
        }

        @Test
        void areBrokenOffIfTheirAnswerHasBegun() {
            ForwardEffect.HandOver handOver = handOver("/safe/1");
            harness.run(new ForwardEvent.ForwardBegan(handOver.ticket(), handOver.attempt(), Optional.empty()));
            assertInstanceOf(
                    ForwardEffect.BreakForward.class,
                    end(handOver, new ForwardOutcome.Broken(true, true, "reset"))
                            .getLast());
        }

        @Test
        void beforeTheyWereSentAreSaidNotToHaveRun() {
            ForwardEffect.HandOver first = handOver("/once/1");
            ForwardEffect.HandOver second = assertInstanceOf(
                    ForwardEffect.HandOver.class,
                    end(first, new ForwardOutcome.NotSent(true, "refused")).getLast());
            Failure failure = failure(end(second, new ForwardOutcome.NotSent(true, "refused")));
            assertEquals(ErrorKind.SERVERS_UNREACHABLE, failure.kind());
            assertTrue(failure.retryAfter().isPresent());
        }
    }

    @Nested
    class Callers {
        @Test
        void whoLeaveEndTheRequestAtTheOtherDaemon() {
            ForwardEffect.HandOver handOver = handOver("/safe/1");
            assertInstanceOf(
                    ForwardEffect.CancelForward.class,
                    harness.run(new ForwardEvent.ForwardLeft(handOver.ticket())).getLast());
            end(handOver, new ForwardOutcome.Cancelled(0, false));
            assertEquals(0, harness.liveCalls());
        }

        @Test
        void areAnsweredAtTheirDeadline() {
            handOver("/safe/1");
            harness.advance(3_100);
            assertEquals(ErrorKind.DEADLINE_EXCEEDED, failure(harness.tick()).kind());
        }

        /** The other daemon charges the request, so that this one does not. */
        @Test
        void areChargedOnce() {
            ForwardHarness limited = cutOff(1_000);
            for (int index = 0; index < 100; index++) {
                assertInstanceOf(
                        ForwardEffect.HandOver.class,
                        limited.arrive("/safe/" + index, Optional.of(ForwardHarness.KEY), 3_000)
                                .getLast());
            }
        }
    }

    @Nested
    class RequestsOfOtherDaemons {
        private List<ForwardEffect> arriveHandedOver() {
            ForwardHead head = ForwardHead.of(
                            "id-x",
                            "a.example",
                            "/safe/1",
                            Optional.of(ForwardHarness.KEY),
                            OptionalLong.of(3_000),
                            Optional.empty(),
                            Fingerprint.of("content-x"))
                    .handedOver(true);
            return harness.run(new ForwardEvent.ForwardArrived(harness.nextTicket(), head, harness.nowNanos()));
        }

        /** Daemons that are cut off would otherwise pass a request around. */
        @Test
        void areNotHandedOverAgain() {
            assertEquals(
                    ErrorKind.SERVERS_UNREACHABLE, failure(arriveHandedOver()).kind());
        }

        @ParameterizedTest
        @ValueSource(booleans = {false, true})
        void getNoPlaceThatIsKeptForOwnCallers(boolean full) {
            int places = harness.board().settings().bounds().eventQueueCapacity();
            for (int index = 0; index < (full ? places / 2 : places / 2 - 1); index++) {
                handOver("/safe/" + index);
            }
            ErrorKind kind = failure(arriveHandedOver()).kind();
            assertEquals(full ? ErrorKind.HELPER_FULL : ErrorKind.SERVERS_UNREACHABLE, kind);
            handOver("/safe/own");
        }
    }

    @Nested
    class LinksThatAreBack {
        /** All requests at once would meet connections that are still to be opened. */
        @Test
        void getTheirTrafficBackStepByStep() {
            harness.run(ForwardEvent.ConnectionChecked.of(ServerId.of("i-1"), true));
            assertEquals(0, own(), 10);
            harness.advance(1_000);
            assertEquals(50, own(), 20);
            harness.advance(TimeUnit.SECONDS.toMillis(2));
            harness.tick();
            assertEquals(100, own());
        }

        private long own() {
            long own = 0;
            for (int index = 0; index < 100; index++) {
                ForwardEffect effect = harness.arrive("/safe/" + index, Optional.of(ForwardHarness.KEY), 3_000)
                        .getLast();
                if (effect instanceof ForwardEffect.StartForward start) {
                    own++;
                    harness.endAttempt(start, new ForwardOutcome.Failed(500));
                } else if (effect instanceof ForwardEffect.HandOver handOver) {
                    end(handOver, new ForwardOutcome.Completed(false));
                }
                harness.advance(1);
            }
            return own;
        }
    }
}
