package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.LogEffect;
import org.plantainwharf.effect.RolloutEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against orders that are acknowledged before they are committed, refused as wrong without knowledge of the newest
 * document, or answered twice, never or wrongly.
 */
class RolloutOrderControllerTest {
    private static final ServiceName SERVICE = ServiceName.of("huvo11a");
    private static final ServiceName UNKNOWN = ServiceName.of("gone");
    private static final ServerVersion TARGET = ServerVersion.of("v2");
    private static final long WALL_CLOCK_MILLIS = 1_700_000_000_000L;
    private static final Rollout ROLLOUT =
            new Rollout(SERVICE, 1, TARGET, 12_000, WALL_CLOCK_MILLIS, new RolloutPhase.Observing());

    private final Board board = Board.create(Samples.settings("core-1"), 1, 7);
    private final List<ReplicationEvent.ProposalRequested> proposals = new ArrayList<>();
    private final List<Effect> effects = new ArrayList<>();
    private final ControlCycle cycle = ControlCycle.create(
            board,
            List.of(DocumentController.create(RolloutOrderControllerTest::decode), this::record, createOrders()));

    private static Controller createOrders() {
        return RolloutOrderController.create();
    }

    private void record(Event event, Board ignored, long nowNanos, org.plantainwharf.effect.Effects none) {
        if (event instanceof ReplicationEvent.ProposalRequested requested) {
            proposals.add(requested);
        }
    }

    private static Either<Failure, ServiceDocument> decode(Content content) {
        ServiceRule rule = new ServiceRule(SERVICE, 100, Optional.empty(), Optional.empty());
        return Either.right(new ServiceDocument(
                content.bytes()[0], List.of(), Map.of(SERVICE, rule), CallerBounds.defaults(), List.of()));
    }

    private static Content document(int version) {
        return Content.of("application/json", new byte[] {(byte) version});
    }

    private void run(Event event) {
        effects.addAll(cycle.run(event, 0, WALL_CLOCK_MILLIS));
    }

    private void commit(Command command) {
        CommandResult result = board.configuration().state().apply(command);
        run(new ReplicationEvent.EntryApplied(0, 1, command, result));
    }

    @BeforeEach
    void putDocumentInForce() {
        commit(new Command.ReplaceDocument(5, document(5)));
        effects.clear();
    }

    private void order(ServiceName service, ServerVersion target, long durationMillis) {
        run(new RolloutEvent.RolloutOrdered(9, service, target, durationMillis));
    }

    private void decide(CommandResult result) {
        run(new ReplicationEvent.ProposalDecided(proposals.getLast().proposalId(), result));
    }

    private void fail() {
        run(new ReplicationEvent.ProposalFailed(proposals.getLast().proposalId(), ErrorKind.NO_QUORUM));
    }

    private List<RolloutEffect> answers() {
        return effects.stream()
                .filter(RolloutEffect.class::isInstance)
                .map(RolloutEffect.class::cast)
                .toList();
    }

    private Failure refusal() {
        assertEquals(1, answers().size());
        if (answers().getFirst() instanceof RolloutEffect.RefuseRollout refused) {
            assertEquals(9, refused.ticket());
            return refused.failure();
        }
        throw new AssertionError("not refused: " + answers());
    }

    private long count(String metric) {
        return effects.stream()
                .filter(CountEffect.class::isInstance)
                .map(CountEffect.class::cast)
                .filter(count -> count.metric().equals(metric))
                .mapToLong(CountEffect::amount)
                .sum();
    }

    private boolean logged(String event) {
        return effects.stream()
                .anyMatch(effect ->
                        effect instanceof LogEffect line && line.event().equals(event));
    }

    @Nested
    class Orders {
        @Test
        void areProposedAndAnsweredOnlyOnceCommitted() {
            order(SERVICE, TARGET, 12_000);
            assertEquals(
                    new Command.BeginRollout(SERVICE, TARGET, 12_000, WALL_CLOCK_MILLIS),
                    proposals.getLast().command());
            assertEquals(List.of(), answers());
            decide(new CommandResult.RolloutHeld(ROLLOUT));
            assertEquals(List.of(new RolloutEffect.AcknowledgeOrder(9, ROLLOUT)), answers());
            assertEquals(1, count("rollout.orders"));
            assertEquals(1, count("rollout.orders_acknowledged"));
            assertTrue(logged("rollout_ordered") && logged("rollout_acknowledged"));
        }

        /** The control group may report a result after it reported that there is none. */
        @Test
        void areAnsweredOnce() {
            order(SERVICE, TARGET, 12_000);
            fail();
            decide(new CommandResult.RolloutHeld(ROLLOUT));
            assertEquals(ErrorKind.ROLLOUT_UNDECIDED, refusal().kind());
        }

        static Stream<Arguments> refusals() {
            return Stream.of(
                    Arguments.of(
                            new CommandResult.RolloutConflict(ROLLOUT),
                            ErrorKind.ROLLOUT_CONFLICT,
                            "rollout.orders_conflicting"),
                    Arguments.of(new CommandResult.Ignored(), ErrorKind.ROLLOUT_INVALID, "rollout.orders_invalid"),
                    Arguments.of(new CommandResult.Done(), ErrorKind.INTERNAL_ERROR, "errors.internal_error"));
        }

        @ParameterizedTest
        @MethodSource("refusals")
        void areRefusedByTheirResult(CommandResult result, ErrorKind kind, String counter) {
            order(SERVICE, TARGET, 12_000);
            decide(result);
            assertEquals(kind, refusal().kind());
            assertEquals(1, count(counter));
            assertEquals(1, count(kind.metricName()));
            assertTrue(logged("rollout_refused"));
        }

        @Test
        void thatConflictNameTheRolloutInProgress() {
            order(SERVICE, ServerVersion.of("v3"), 12_000);
            decide(new CommandResult.RolloutConflict(ROLLOUT));
            assertEquals(
                    "a rollout of huvo11a to version v2 is in progress",
                    refusal().message());
        }

        @Test
        void thatAreUndecidedAreCounted() {
            order(SERVICE, TARGET, 12_000);
            fail();
            assertEquals(503, refusal().kind().httpStatus());
            assertEquals(1, count("rollout.orders_undecided"));
        }
    }

    @Nested
    class InvalidOrders {
        static Stream<Arguments> orders() {
            return Stream.of(
                    Arguments.of(ServerVersion.unstated(), 12_000, "target version must not be empty"),
                    Arguments.of(TARGET, 0, "duration must be above 0 and at most 86400000 ms, got 0"),
                    Arguments.of(TARGET, -1, "got -1"),
                    Arguments.of(TARGET, 86_400_001, "got 86400001"),
                    Arguments.of(TARGET, Long.MAX_VALUE, "duration must"),
                    Arguments.of(ServerVersion.unstated(), 0, "target version must not be empty; duration must"));
        }

        /** Another front end may not check what the platform's one does. */
        @ParameterizedTest
        @MethodSource("orders")
        void areRefusedWithEveryProblem(ServerVersion target, long durationMillis, String problem) {
            order(SERVICE, target, durationMillis);
            assertTrue(refusal().message().contains(problem), refusal().message());
            assertEquals(400, refusal().kind().httpStatus());
            assertEquals(List.of(), proposals);
            assertEquals(1, count("rollout.orders_invalid"));
        }
    }

    @Nested
    class UnknownServices {
        @Test
        void areRefusedOnceTheNewestDocumentIsKnownToLackThem() {
            order(UNKNOWN, TARGET, 12_000);
            assertEquals(new Command.ReadDocument(), proposals.getLast().command());
            assertEquals(List.of(), answers());
            decide(new CommandResult.DocumentContent(5, document(5)));
            assertEquals(ErrorKind.ROLLOUT_INVALID, refusal().kind());
            assertEquals(
                    "rollout order has errors: service must be one of the document in force, version 5, got gone",
                    refusal().message());
        }

        @Test
        void areUndecidedWhileANewerDocumentIsOnItsWay() {
            order(UNKNOWN, TARGET, 12_000);
            decide(new CommandResult.DocumentContent(6, document(6)));
            assertEquals(ErrorKind.ROLLOUT_SERVICE_UNCONFIRMED, refusal().kind());
            assertEquals(1, count("rollout.orders_undecided"));
        }

        @Test
        void areUndecidedWithoutAMajority() {
            order(UNKNOWN, TARGET, 12_000);
            fail();
            assertEquals(503, refusal().kind().httpStatus());
        }

        @Test
        void ofAResentOrderAreAcknowledged() {
            commit(new Command.BeginRollout(UNKNOWN, TARGET, 12_000, WALL_CLOCK_MILLIS - 4_000));
            order(UNKNOWN, TARGET, 12_000);
            assertTrue(proposals.getLast().command() instanceof Command.BeginRollout);
        }

        @Test
        void ofAnOrderLongAfterTheVerdictAreNoResend() {
            commit(new Command.BeginRollout(UNKNOWN, TARGET, 12_000, WALL_CLOCK_MILLIS - 400_000));
            commit(new Command.FinishRollout(UNKNOWN, 1, new RolloutPhase.Completed()));
            order(UNKNOWN, TARGET, 12_000);
            assertEquals(new Command.ReadDocument(), proposals.getLast().command());
        }
    }

    @Nested
    class Reads {
        @Test
        void goThroughTheLog() {
            run(new RolloutEvent.RolloutRequested(9, SERVICE));
            assertEquals(new Command.ReadRollout(SERVICE), proposals.getLast().command());
            decide(new CommandResult.RolloutHeld(ROLLOUT));
            assertEquals(List.of(new RolloutEffect.ReturnRollout(9, ROLLOUT)), answers());
        }

        @Test
        void ofAServiceWithoutARolloutAreRefused() {
            run(new RolloutEvent.RolloutRequested(9, SERVICE));
            decide(new CommandResult.NoRollout());
            assertEquals(ErrorKind.ROLLOUT_NOT_FOUND, refusal().kind());
        }

        @Test
        void withoutAMajorityAreRefused() {
            run(new RolloutEvent.RolloutRequested(9, SERVICE));
            fail();
            assertEquals(ErrorKind.NO_QUORUM, refusal().kind());
        }
    }
}
