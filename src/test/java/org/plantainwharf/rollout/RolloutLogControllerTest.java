package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.board.Board;
import org.plantainwharf.configuration.ControlState;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.LogEffect;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against phases that a daemon acted by and that are missing in its log, or stand there twice. */
class RolloutLogControllerTest {
    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final ServerVersion TARGET = ServerVersion.of("v2");

    private final Board board = Board.create(Samples.settings("edge-1"), 1, 7);
    private final ControlCycle cycle = ControlCycle.create(board, List.of(RolloutLogController.create()));
    private final List<String> lines = new ArrayList<>();
    private final List<String> counts = new ArrayList<>();
    private long index;

    private void run(ReplicationEvent event) {
        for (Effect effect : cycle.run(event, 0, 0)) {
            if (effect instanceof LogEffect line) {
                assertEquals("rollout_phase", line.event());
                List<String> fields =
                        line.fields().stream().map(String::valueOf).toList();
                lines.add(String.join(" ", fields));
            } else if (effect instanceof CountEffect count) {
                counts.add(count.metric());
            }
        }
    }

    /** Applies commands together, as a daemon does that catches up, and then hears of each. */
    private void commit(Command... commands) {
        List<ReplicationEvent> events = new ArrayList<>();
        for (Command command : commands) {
            index++;
            CommandResult result = board.configuration().state().apply(command);
            events.add(new ReplicationEvent.EntryApplied(0, index, command, result));
        }
        events.forEach(this::run);
    }

    private static Command begin(long wallClockMillis) {
        return new Command.BeginRollout(SERVICE, TARGET, 12_000, wallClockMillis);
    }

    private static Command advance(RolloutPhase phase) {
        return new Command.AdvanceRollout(SERVICE, 1, phase);
    }

    private static Command finish(long number, RolloutPhase verdict) {
        return new Command.FinishRollout(SERVICE, number, verdict);
    }

    private static String line(long number, String phase, String former, String share, String reason) {
        return "service engines number " + number + " target v2 phase " + phase + " former " + former + " share "
                + share + " reason " + reason;
    }

    @Nested
    class Phases {
        @Test
        void areLoggedOneByOneAlsoWhenTheyAreAppliedTogether() {
            commit(
                    begin(0),
                    advance(new RolloutPhase.Growing(250)),
                    advance(new RolloutPhase.Growing(500)),
                    advance(new RolloutPhase.Retiring()),
                    finish(1, new RolloutPhase.Completed()));
            assertEquals(
                    List.of(
                            line(1, "observing", "none", "", ""),
                            line(1, "growing", "observing", "0.25", ""),
                            line(1, "growing", "growing", "0.5", ""),
                            line(1, "retiring", "growing", "1", ""),
                            line(1, "completed", "retiring", "1", "")),
                    lines);
            assertEquals(
                    2, counts.stream().filter("rollout.phases.growing"::equals).count());
        }

        @Test
        void nameTheReasonOfARollBack() {
            commit(begin(0), finish(1, new RolloutPhase.RolledBack("failures on r-1")));
            assertEquals(line(1, "rolled_back", "observing", "0", "failures on r-1"), lines.getLast());
        }

        @Test
        void areLoggedOnceForResendsAndLateProposals() {
            commit(begin(0), finish(1, new RolloutPhase.Completed()));
            commit(
                    begin(4_000),
                    finish(1, new RolloutPhase.Completed()),
                    finish(1, new RolloutPhase.RolledBack("late")),
                    advance(new RolloutPhase.Retiring()));
            assertEquals(2, lines.size(), lines::toString);
        }

        @Test
        void ofALaterRolloutBeginAnew() {
            commit(begin(0), finish(1, new RolloutPhase.RolledBack("failures")));
            commit(begin(100_000));
            assertEquals(line(2, "observing", "none", "", ""), lines.getLast());
        }

        @Test
        void areNotLoggedForAResendAfterALaterRollout() {
            commit(begin(0), finish(1, new RolloutPhase.RolledBack("failures")));
            commit(new Command.BeginRollout(SERVICE, ServerVersion.of("v3"), 12_000, 5_000));
            commit(begin(9_000));
            assertEquals(3, lines.size(), lines::toString);
        }
    }

    @Nested
    class Snapshots {
        private void restore(RolloutPhase phase) {
            ControlState source = ControlState.create();
            source.apply(begin(0));
            source.apply(advance(phase));
            board.configuration().state().restore(source.records());
            run(new ReplicationEvent.StateReplaced(0, 9));
        }

        @Test
        void areLoggedWithTheLastPhaseThatThisDaemonLogged() {
            commit(begin(0));
            restore(new RolloutPhase.Growing(500));
            restore(new RolloutPhase.Growing(500));
            assertEquals(
                    List.of(line(1, "observing", "none", "", ""), line(1, "growing", "observing", "0.5", "")), lines);
        }

        @Test
        void areFollowedByThePhasesOfLaterEntries() {
            restore(new RolloutPhase.Growing(500));
            commit(advance(new RolloutPhase.Retiring()));
            assertEquals(line(1, "retiring", "growing", "1", ""), lines.getLast());
        }
    }
}
