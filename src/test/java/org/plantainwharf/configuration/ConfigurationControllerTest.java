package org.plantainwharf.configuration;

import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a restart that puts an older sheet in force, and against a host without contact to the majority that
 * does not report that it may be behind.
 */
class ConfigurationControllerTest {
    private static final long SECOND = 1_000_000_000;

    private final Board board = Board.create(Samples.settings("h1"), 1, 7);
    private final ConfigurationController controller = ConfigurationController.create();

    private void status(Optional<HostId> leader, long commitIndex, long appliedIndex, long contactNanos) {
        board.consensus().put(new GroupStatus(0, leader, false, 3, commitIndex, appliedIndex, 0, contactNanos, true));
    }

    private void commit(long version) {
        board.configuration().state().apply(new Command.ApplySheet(Samples.sheet(version, "digest" + version)));
    }

    private void tick(long nowNanos) {
        controller.handle(new TimerEvent.Tick(), board, nowNanos, Effects.create());
    }

    @Nested
    class AfterARestart {
        @Test
        void doesNotApplyTheSheetFromDiskBeforeHearingFromALeader() {
            commit(5);
            status(Optional.empty(), 256, 256, 0);
            controller.handle(new ReplicationEvent.StateReplaced(0, 256), board, 0, Effects.create());
            tick(SECOND);
            assertEquals(0, board.configuration().version());
        }

        @Test
        void appliesTheSheetOnceAllCommittedEntriesAreApplied() {
            commit(5);
            status(Optional.of(HostId.of("h2")), 300, 256, 0);
            tick(SECOND);
            assertEquals(0, board.configuration().version());
            commit(6);
            status(Optional.of(HostId.of("h2")), 300, 300, 0);
            tick(SECOND);
            assertEquals(6, board.configuration().version());
        }
    }

    @Nested
    class WithoutAMajority {
        @Test
        void keepsTheSheetAndReportsThatTheHostMayBeBehind() {
            commit(5);
            status(Optional.of(HostId.of("h2")), 10, 10, 0);
            tick(SECOND);
            assertFalse(board.configuration().behind());
            status(Optional.empty(), 10, 10, 0);
            tick(4 * SECOND);
            assertTrue(board.configuration().behind());
            assertEquals(5, board.configuration().version());
        }
    }
}
