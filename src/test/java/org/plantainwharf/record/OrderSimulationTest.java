package org.plantainwharf.record;

import java.util.List;
import java.util.Objects;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallState;
import org.plantainwharf.control.Controller;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateMachine;
import org.plantainwharf.replicated.StateRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against orders that run twice, requests that run although their caller was told that they did not, and keys with
 * no answer or with different answers.
 */
class OrderSimulationTest {
    private static final int SEEDS = 200;

    @Property(tries = SEEDS, seed = "20261204")
    void runsEachKeyAtMostOnceAndReportsTrueOutcomes(@ForAll @LongRange(min = 0, max = Integer.MAX_VALUE) long seed) {
        OrderSimulation simulation = OrderSimulation.run(seed);
        assertEquals(List.of(), simulation.violations(), () -> "seed " + seed);
        assertTrue(simulation.keysRun() > 0, () -> "seed " + seed);
    }

    @Nested
    class DetectsBrokenVariants {
        private boolean anySeedFails(java.util.function.LongFunction<OrderSimulation> run) {
            return LongStream.range(0, SEEDS)
                    .anyMatch(seed -> !run.apply(seed).violations().isEmpty());
        }

        @Test
        void sendingWithoutACommittedIntent() {
            Controller sendWithoutIntent = (event, board, nowNanos, effects) -> {
                @Nullable CallEntry entry = board.calls().pollRecording();
                while (entry != null) {
                    board.calls().advance(entry, new CallState.Ready(nowNanos));
                    entry = board.calls().pollRecording();
                }
            };
            assertTrue(
                    anySeedFails(seed -> OrderSimulation.run(seed, RecordState.create(), List.of(sendWithoutIntent))));
        }

        @Test
        void releasingALostKey() {
            assertTrue(anySeedFails(seed ->
                    OrderSimulation.run(seed, new LossReleasingState(), List.of(CallRecordingController.create()))));
        }

        @Test
        void ignoringLostOwners() {
            assertTrue(anySeedFails(seed -> OrderSimulation.run(
                    seed, new OwnerLossIgnoringState(), List.of(CallRecordingController.create()))));
        }
    }

    /** A record state that replaces some commands before it applies them. */
    private abstract static class CommandReplacingState implements StateMachine {
        private final RecordState state = RecordState.create();

        @Override
        public CommandResult apply(Command command) {
            return state.apply(Objects.requireNonNull(replace(command)));
        }

        abstract Command replace(Command command);

        @Override
        public QueryResult answer(Query query) {
            return state.answer(query);
        }

        @Override
        public List<StateRecord> records() {
            return state.records();
        }

        @Override
        public void restore(List<StateRecord> records) {
            state.restore(records);
        }
    }

    /** Releases the key of an order whose outcome is unknown, as if nothing had been sent. */
    private static final class LossReleasingState extends CommandReplacingState {
        @Override
        Command replace(Command command) {
            return command instanceof Command.LoseOutcome lose
                    ? new Command.ReleaseIntent(lose.account(), lose.key(), lose.request(), 0)
                    : command;
        }
    }

    /** Ignores lost owners, so that their intents stay open. */
    private static final class OwnerLossIgnoringState extends CommandReplacingState {
        @Override
        Command replace(Command command) {
            return command instanceof Command.MarkOwnerLost ? new Command.NoOperation() : command;
        }
    }
}
