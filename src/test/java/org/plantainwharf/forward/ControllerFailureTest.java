package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.drain.DrainController;
import org.plantainwharf.duty.DemandController;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.keptpart.KeptPartController;
import org.plantainwharf.limit.AllowanceController;
import org.plantainwharf.observation.ObservationController;
import org.plantainwharf.origin.OriginAnswer;
import org.plantainwharf.origin.OriginLookupController;
import org.plantainwharf.quarantine.ForwardQuarantineController;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.room.RoomController;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against requests that wait for ever, or hold a place or a part of a limit, because a controller has thrown while
 * it handled one of their events.
 */
class ControllerFailureTest {
    private static final ServerId SERVER = ServerId.of("i-1");

    /** When a controller throws: before it has done anything, or once it has done everything. */
    private enum Moment {
        BEFORE,
        AFTER
    }

    /** A controller that throws once, at an armed event. */
    private static final class FailingController implements Controller {
        private final Controller controller;
        private Predicate<Event> armed = event -> false;
        private Moment moment = Moment.BEFORE;

        FailingController(Controller controller) {
            this.controller = controller;
        }

        void arm(Class<?> event, Moment newMoment) {
            armed = event::isInstance;
            moment = newMoment;
        }

        @Override
        public void handle(Event event, Board board, long nowNanos, Effects effects) {
            boolean fails = armed.test(event);
            if (fails) {
                armed = other -> false;
            }
            if (!fails || moment == Moment.AFTER) {
                controller.handle(event, board, nowNanos, effects);
            }
            if (fails) {
                throw new IllegalStateException("injected");
            }
        }

        @Override
        public void recover(Event event, Board board, long nowNanos, Effects effects) {
            controller.recover(event, board, nowNanos, effects);
        }

        String name() {
            return controller.getClass().getSimpleName();
        }
    }

    /** The controllers of an entry daemon that see requests, and its traffic side. */
    private static final class FailingDaemon {
        private final List<FailingController> controllers = new ArrayList<>();
        private final List<Throwable> failures = new ArrayList<>();
        private final Map<Long, ForwardEffect.StartForward> running = new HashMap<>();
        private final Set<Long> sent = new HashSet<>();
        private final Set<Long> mayHaveRun = new HashSet<>();
        private final Map<Long, Failure> refused = new HashMap<>();
        private final Set<Long> answered = new HashSet<>();
        private final ForwardHarness harness;

        FailingDaemon(double tokensPerSecond) {
            this.harness = new ForwardHarness(
                    List.of(
                            ForwardHarness.route("/safe/", Repeatability.SAFE, 2, false),
                            ForwardHarness.route("/once/", Repeatability.ONCE, 1, false),
                            ForwardHarness.route("/stream/", Repeatability.STREAM, 2, true)),
                    tokensPerSecond,
                    this::failing,
                    (controller, event, cause) -> failures.add(cause));
            harness.applyDocument();
            harness.reportServer(SERVER.value(), ServerPhase.READY);
        }

        private List<Controller> failing(List<Controller> own) {
            List<Controller> all = new ArrayList<>(own);
            all.addFirst(OriginLookupController.create());
            all.addFirst(RoomController.create());
            all.addFirst(ForwardQuarantineController.create());
            all.addFirst(AllowanceController.create());
            all.addFirst(ObservationController.ofEntryDaemon());
            all.addFirst(KeptPartController.create());
            all.addFirst(DrainController.create());
            all.addLast(DemandController.create());
            all.forEach(controller -> controllers.add(new FailingController(controller)));
            return List.copyOf(controllers);
        }

        FailingController controller(String name) {
            return controllers.stream()
                    .filter(controller -> controller.name().equals(name))
                    .findFirst()
                    .orElseThrow();
        }

        /** Carries out effects as the traffic threads do. */
        private void execute(List<ForwardEffect> effects) {
            for (ForwardEffect effect : effects) {
                switch (effect) {
                    case ForwardEffect.StartForward start -> {
                        sent.add(start.ticket());
                        running.put(start.ticket(), start);
                    }
                    case ForwardEffect.CancelForward cancel ->
                        end(cancel.ticket(), new ForwardOutcome.Cancelled(0, false));
                    case ForwardEffect.RefuseForward refuse -> {
                        if (answered.add(refuse.ticket())) {
                            refused.put(refuse.ticket(), refuse.failure());
                        }
                    }
                    case ForwardEffect.BreakForward broken -> answered.add(broken.ticket());
                    case ForwardEffect.PassFailure pass -> answered.add(pass.ticket());
                    case ForwardEffect.ProbeServer probe -> {}
                    case ForwardEffect.CheckConnection check -> {}
                    case ForwardEffect.HandOver handOver -> throw new AssertionError("no other entry daemon is known");
                }
            }
        }

        void run(Event event) {
            execute(harness.run(event));
        }

        /** Ends the attempt of a request, if one is running; a complete answer has been written then. */
        void end(long ticket, ForwardOutcome outcome) {
            ForwardEffect.StartForward start = running.remove(ticket);
            if (start != null) {
                if (outcome instanceof ForwardOutcome.Completed) {
                    answered.add(ticket);
                }
                if (mayHaveRun(outcome)) {
                    mayHaveRun.add(ticket);
                }
                run(new ForwardEvent.ForwardEnded(ticket, start.attempt(), outcome, Optional.empty()));
            }
        }

        private static boolean mayHaveRun(ForwardOutcome outcome) {
            return switch (outcome) {
                case ForwardOutcome.Refused refused -> false;
                case ForwardOutcome.NotSent notSent -> false;
                case ForwardOutcome.Withheld withheld -> false;
                case ForwardOutcome.Completed completed -> true;
                case ForwardOutcome.Failed failed -> true;
                case ForwardOutcome.Broken broken -> true;
                case ForwardOutcome.Cancelled cancelled -> true;
            };
        }

        long arrive(String path) {
            long ticket = harness.nextTicket();
            execute(harness.arrive(path, Optional.of(ForwardHarness.KEY), 3_000));
            return ticket;
        }

        void begin(long ticket) {
            ForwardEffect.StartForward start = running.get(ticket);
            if (start != null) {
                run(new ForwardEvent.ServerNoticed(
                        ticket, SERVER, 1, new ServerNotice(false, new RequestedPause.None())));
                run(new ForwardEvent.ForwardBegan(ticket, start.attempt(), Optional.empty()));
                run(new ForwardEvent.StreamBegan(ticket, start.attempt()));
            }
        }

        void assertNothingHeld() {
            assertEquals(0, harness.liveCalls());
            assertEquals(
                    0,
                    harness.board().forward().statistics(SERVER).inFlight(),
                    "places taken at the server by requests that have ended");
        }

        void assertTruthful(long ticket) {
            Failure failure = refused.get(ticket);
            if (failure != null && failure.executionStatus() == ExecutionStatus.NO) {
                assertFalse(
                        mayHaveRun.contains(ticket) || running.containsKey(ticket),
                        "may have run, but the caller was told that it has not");
            }
        }
    }

    static Stream<Arguments> failures() {
        List<Class<?>> events = List.of(
                ForwardEvent.ForwardArrived.class,
                ForwardEvent.ForwardBegan.class,
                ForwardEvent.StreamBegan.class,
                ForwardEvent.ServerNoticed.class,
                ForwardEvent.ForwardEnded.class,
                ForwardEvent.ForwardLeft.class,
                ForwardEvent.OriginRequested.class,
                ForwardEvent.OriginDecided.class,
                TimerEvent.Tick.class);
        List<String> controllers = new FailingDaemon(0)
                .controllers.stream()
                        .map(FailingController::name)
                        .filter(name -> name.endsWith("Controller"))
                        .toList();
        return controllers.stream().flatMap(controller -> events.stream()
                .flatMap(event -> Stream.of(Moment.values()).map(moment -> Arguments.of(controller, event, moment))));
    }

    @Nested
    class EachEventAtEachController {
        private static final List<ForwardOutcome> OUTCOMES = List.of(
                new ForwardOutcome.Completed(false),
                new ForwardOutcome.Failed(500),
                new ForwardOutcome.Broken(false, true, "reset"),
                new ForwardOutcome.Broken(true, true, "reset"),
                new ForwardOutcome.Refused(503, OptionalLong.empty()),
                new ForwardOutcome.NotSent(true, "refused"),
                new ForwardOutcome.Withheld(ForwardOutcome.Withheld.Reason.DEADLINE_PASSED));

        /** After a change of weights, each request's arrival failed, and none of them got an answer. */
        @ParameterizedTest
        @MethodSource("org.plantainwharf.forward.ControllerFailureTest#failures")
        void leavesNoRequestWithoutAnAnswerAndNoPlaceTaken(String controller, Class<?> event, Moment moment) {
            for (String path : List.of("/safe/1", "/once/1", "/stream/1")) {
                for (ForwardOutcome outcome : OUTCOMES) {
                    for (boolean begins : new boolean[] {false, true}) {
                        FailingDaemon daemon = new FailingDaemon(0);
                        daemon.controller(controller).arm(event, moment);
                        long ticket = daemon.arrive(path);
                        if (begins) {
                            daemon.begin(ticket);
                        }
                        daemon.run(new TimerEvent.Tick());
                        daemon.end(ticket, outcome);
                        // A second attempt may have been sent.
                        daemon.end(ticket, new ForwardOutcome.Completed(false));
                        assertTrue(daemon.answered.contains(ticket), path + " " + outcome);
                        daemon.assertTruthful(ticket);
                        daemon.assertNothingHeld();
                        assertTrue(daemon.failures.size() <= 1, daemon.failures.toString());
                        assertNextIsServed(daemon);
                    }
                }
            }
        }

        @ParameterizedTest
        @MethodSource("org.plantainwharf.forward.ControllerFailureTest#failures")
        void leavesNothingOfACallerWhoLeaves(String controller, Class<?> event, Moment moment) {
            FailingDaemon daemon = new FailingDaemon(0);
            daemon.controller(controller).arm(event, moment);
            long ticket = daemon.arrive("/safe/1");
            daemon.run(new ForwardEvent.ForwardLeft(ticket));
            daemon.end(ticket, new ForwardOutcome.Cancelled(0, false));
            daemon.assertNothingHeld();
            assertNextIsServed(daemon);
        }

        @ParameterizedTest
        @MethodSource("org.plantainwharf.forward.ControllerFailureTest#failures")
        void leavesNoRequestBeyondItsDeadline(String controller, Class<?> event, Moment moment) {
            FailingDaemon daemon = new FailingDaemon(0);
            long first = daemon.arrive("/safe/1");
            long second = daemon.arrive("/stream/1");
            daemon.begin(second);
            daemon.controller(controller).arm(event, moment);
            daemon.harness.advance(3_000);
            daemon.run(new TimerEvent.Tick());
            assertTrue(daemon.answered.containsAll(List.of(first, second)));
            daemon.assertNothingHeld();
        }

        /** A take-up waits for the origin of its stream. */
        @ParameterizedTest
        @MethodSource("org.plantainwharf.forward.ControllerFailureTest#failures")
        void leavesNoTakeUpWithoutAnAnswer(String controller, Class<?> event, Moment moment) {
            FailingDaemon daemon = new FailingDaemon(0);
            daemon.controller(controller).arm(event, moment);
            long ticket = daemon.harness.nextTicket();
            daemon.execute(daemon.harness.takeUp("/stream/1", Optional.of("lost"), 3_000));
            daemon.harness.advance(3_000);
            daemon.run(new TimerEvent.Tick());
            daemon.run(new TimerEvent.Tick());
            assertTrue(daemon.answered.contains(ticket));
            daemon.assertTruthful(ticket);
            daemon.assertNothingHeld();
        }

        private static void assertNextIsServed(FailingDaemon daemon) {
            daemon.harness.advance(10_000);
            daemon.harness.reportServer("i-2", ServerPhase.READY);
            daemon.run(new TimerEvent.Tick());
            long next = daemon.arrive("/safe/2");
            daemon.end(next, new ForwardOutcome.Completed(false));
            assertTrue(daemon.sent.contains(next));
            assertTrue(daemon.answered.contains(next));
        }
    }

    @Nested
    class RequestsWhoseEventFails {
        /** They were kept until their deadline, or for ever. */
        @Test
        void areRefusedAtOnceAsNotRunIfTheyWereNotSent() {
            FailingDaemon daemon = new FailingDaemon(0);
            daemon.controller("ForwardController").arm(ForwardEvent.ForwardArrived.class, Moment.BEFORE);
            long ticket = daemon.arrive("/once/1");
            assertRefused(daemon, ticket, ErrorKind.HANDLING_FAILED, ExecutionStatus.NO);
            assertEquals(1, daemon.failures.size());
        }

        @Test
        void areRefusedAtOnceAsUnknownIfTheyMayHaveRun() {
            FailingDaemon daemon = new FailingDaemon(0);
            daemon.controller("ForwardController").arm(ForwardEvent.ForwardArrived.class, Moment.AFTER);
            long ticket = daemon.arrive("/once/1");
            assertRefused(daemon, ticket, ErrorKind.INTERNAL_ERROR, ExecutionStatus.UNKNOWN);
            assertFalse(daemon.running.containsKey(ticket), "its attempt goes on");
        }

        @Test
        void areRefusedAtOnceIfNobodyFindsTheirOrigin() {
            FailingDaemon daemon = new FailingDaemon(0);
            daemon.controller("OriginLookupController").arm(ForwardEvent.OriginRequested.class, Moment.BEFORE);
            long ticket = daemon.harness.nextTicket();
            daemon.execute(daemon.harness.takeUp("/stream/1", Optional.of("lost"), 3_000));
            assertRefused(daemon, ticket, ErrorKind.STREAM_ORIGIN_UNKNOWN, ExecutionStatus.NO);
        }

        /** Otherwise an account pays for what it did not get. */
        @Test
        void giveTheirPartOfALimitBackIfTheyWereNotSent() {
            FailingDaemon daemon = new FailingDaemon(200);
            daemon.controller("ForwardController").arm(ForwardEvent.OriginDecided.class, Moment.BEFORE);
            long ticket = daemon.harness.nextTicket();
            daemon.execute(daemon.harness.takeUp("/stream/1", Optional.of("lost"), 3_000));
            daemon.harness.decideOrigin(ticket, new OriginAnswer.Unknown());
            assertTrue(daemon.sent.contains(daemon.arrive("/safe/1")), "the limit holds one request a second");
        }

        private static void assertRefused(FailingDaemon daemon, long ticket, ErrorKind kind, ExecutionStatus ran) {
            Failure failure =
                    Optional.ofNullable(daemon.refused.get(ticket)).orElseThrow(() -> new AssertionError("no answer"));
            assertEquals(kind, failure.kind());
            assertEquals(ran, failure.executionStatus());
            daemon.assertNothingHeld();
        }
    }
}
