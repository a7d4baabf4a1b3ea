package org.plantainwharf.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.admission.AdmissionController;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.Content;
import org.plantainwharf.configuration.ConfigurationController;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.drain.DrainController;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.OperatorEffect;
import org.plantainwharf.effect.RegistryEffect;
import org.plantainwharf.effect.RolloutEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.registry.DepartureController;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.retry.AttemptController;
import org.plantainwharf.rollout.RolloutOrderController;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against exchanges that nobody answers, because the controller that would have done so has thrown. */
class FailedRequestTest {
    private static final long TICKET = 7;
    private static final ServiceName SERVICE = ServiceName.of("desk");
    private static final Call CALL = Samples.call("q-1", Samples.modelCallKind(false), "{}", 0);

    private final List<Throwable> failures = new ArrayList<>();

    private static Stream<Arguments> exchanges() {
        ServiceDocument document = new ServiceDocument(1, List.of(), Map.of(), CallerBounds.defaults(), List.of());
        Content content = Content.of("application/json", new byte[] {1});
        Predicate<Effect> documentRefused = new DocumentEffect.RefuseDocument(TICKET)::equals;
        Predicate<Effect> serverRefused = new RegistryEffect.AnswerServer(TICKET, false)::equals;
        Predicate<Effect> operatorRefused = effect -> effect instanceof OperatorEffect.AnswerOperator answer
                && answer.ticket() == TICKET
                && answer.answer().isLeft();
        Predicate<Effect> rolloutRefused =
                effect -> effect instanceof RolloutEffect.RefuseRollout refused && refused.ticket() == TICKET;
        Controller documents = DocumentController.create(ignored -> Either.right(document));
        Event deregistered = new RegistryEvent.ServerDeregistered(TICKET, ServerId.of("i-1"), OptionalLong.empty());
        return Stream.of(
                Arguments.of(
                        documents, new DocumentEvent.DocumentSubmitted(TICKET, document, content), documentRefused),
                Arguments.of(documents, new DocumentEvent.DocumentRequested(TICKET), documentRefused),
                Arguments.of(RegistryController.relaying(), deregistered, serverRefused),
                Arguments.of(DepartureController.create(), deregistered, serverRefused),
                Arguments.of(
                        RolloutOrderController.create(),
                        new RolloutEvent.RolloutOrdered(TICKET, SERVICE, ServerVersion.unstated(), 1_000),
                        rolloutRefused),
                Arguments.of(
                        RolloutOrderController.create(),
                        new RolloutEvent.RolloutRequested(TICKET, SERVICE),
                        rolloutRefused),
                Arguments.of(
                        ConfigurationController.create(),
                        new OperatorEvent.SheetSubmitted(TICKET, Samples.sheet(1, "digest")),
                        operatorRefused),
                Arguments.of(DrainController.create(), new OperatorEvent.DrainRequested(TICKET), operatorRefused));
    }

    /** Runs an event at a controller that throws before it has done anything. */
    private List<Effect> runFailing(Controller controller, Event event) {
        Controller failing = new Controller() {
            @Override
            public void handle(Event handled, Board board, long nowNanos, Effects effects) {
                throw new IllegalStateException("injected");
            }

            @Override
            public void recover(Event failed, Board board, long nowNanos, Effects effects) {
                controller.recover(failed, board, nowNanos, effects);
            }
        };
        Board board = Samples.board("core-1", 1);
        return ControlCycle.create(board, List.of(failing))
                .run(event, 0, 0, (thrower, failed, cause) -> failures.add(cause));
    }

    @Nested
    class ExchangesOfServersAndOperators {
        @ParameterizedTest
        @MethodSource("org.plantainwharf.control.FailedRequestTest#exchanges")
        void areAnsweredAtOnce(Controller controller, Event event, Predicate<Effect> isAnswer) {
            List<Effect> effects = runFailing(controller, event);
            assertEquals(1, effects.stream().filter(isAnswer).count(), effects.toString());
            assertEquals(1, failures.size());
        }
    }

    @Nested
    class Calls {
        private void assertRefusedAsNotRun(Controller controller) {
            List<Effect> effects = runFailing(controller, new CallEvent.CallArrived(CALL));
            assertTrue(
                    effects.stream()
                            .anyMatch(effect -> effect instanceof CallEffect.FailCall failed
                                    && failed.failure().kind() == ErrorKind.HANDLING_FAILED),
                    effects.toString());
        }

        @Test
        void thatNobodyAdmitsAreRefusedAtOnce() {
            assertRefusedAsNotRun(AdmissionController.create());
        }

        @Test
        void whoseDeadlineNobodyKnowsAreRefusedAtOnce() {
            assertRefusedAsNotRun(AttemptController.create());
        }
    }

    @Nested
    class Recoveries {
        /** A recovery that throws, too, must not keep the others from the event. */
        @Test
        void thatFailAreReportedAndLeaveTheOthersAlone() {
            Controller failing = new Controller() {
                @Override
                public void handle(Event event, Board board, long nowNanos, Effects effects) {
                    throw new IllegalStateException("injected");
                }

                @Override
                public void recover(Event event, Board board, long nowNanos, Effects effects) {
                    throw new IllegalStateException("injected again");
                }
            };
            Controller counting = (event, board, nowNanos, effects) -> effects.count("handled");
            List<Effect> effects = ControlCycle.create(Samples.board("core-1", 1), List.of(failing, counting))
                    .run(
                            new DocumentEvent.DocumentRequested(TICKET),
                            0,
                            0,
                            (thrower, event, cause) -> failures.add(cause));
            assertEquals(1, effects.size());
            assertEquals(2, failures.size());
        }
    }
}
