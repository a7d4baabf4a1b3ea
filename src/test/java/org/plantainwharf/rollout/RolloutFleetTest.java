package org.plantainwharf.rollout;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.effect.LogEffect;
import org.plantainwharf.error.ErrorKind;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against rollouts that go on wrongly when daemons or the log are lost. */
@Timeout(120)
class RolloutFleetTest {
    private static final long DURATION_MILLIS = 15_000;

    static LongStream seeds() {
        return LongStream.range(1, 13);
    }

    private static void assertCompleted(RolloutFleet fleet) {
        assertEquals(Optional.of(new RolloutPhase.Completed()), fleet.phase(), () -> reasons(fleet));
    }

    private static void assertRolledBack(RolloutFleet fleet, long orderedRequests) {
        assertInstanceOf(RolloutPhase.RolledBack.class, fleet.phase().orElseThrow(), () -> reasons(fleet));
        long sent = fleet.sentToTargetSince(0);
        double bound = 0.1 * (fleet.requests() - orderedRequests) + 50;
        assertTrue(sent <= bound, sent + " requests at the target, bound " + bound);
        long verdict = fleet.nowMillis();
        fleet.advance(3_000);
        assertEquals(0, fleet.sentToTargetSince(verdict));
    }

    private static String reasons(RolloutFleet fleet) {
        StringBuilder text = new StringBuilder();
        for (String event : List.of("rollout_held", "rollout_step", "rollout_verdict")) {
            fleet.lines(event).forEach(line -> text.append(line).append('\n'));
        }
        return text.toString();
    }

    @Nested
    class GoodVersions {
        @ParameterizedTest
        @MethodSource("org.plantainwharf.rollout.RolloutFleetTest#seeds")
        void areCompletedAndTheOldVersionIsLeft(long seed) {
            RolloutFleet fleet = RolloutFleet.create(seed);
            fleet.order(DURATION_MILLIS, 0.002);
            fleet.advance(DURATION_MILLIS);
            assertCompleted(fleet);
            fleet.advance(200);
            long completed = fleet.nowMillis();
            fleet.stopOldServers();
            fleet.advance(3_000);
            assertEquals(0, fleet.sentToOldSince(completed));
            assertTrue(fleet.sentToTargetSince(completed) > 300);
        }

        @ParameterizedTest
        @MethodSource("org.plantainwharf.rollout.RolloutFleetTest#seeds")
        void areCompletedWhenTheLeaderIsLostHalfway(long seed) {
            RolloutFleet fleet = RolloutFleet.create(seed);
            fleet.order(DURATION_MILLIS, 0.002);
            fleet.advance(DURATION_MILLIS / 2);
            fleet.loseLeader(1_200);
            fleet.advance(DURATION_MILLIS / 2);
            assertCompleted(fleet);
        }

        @ParameterizedTest
        @MethodSource("org.plantainwharf.rollout.RolloutFleetTest#seeds")
        void areCompletedWhenAllDaemonsRestart(long seed) {
            RolloutFleet fleet = RolloutFleet.create(seed);
            fleet.order(2 * DURATION_MILLIS, 0.002);
            fleet.advance(DURATION_MILLIS / 2);
            fleet.nodes().forEach(node -> fleet.restart(node, 500));
            fleet.advance(2 * DURATION_MILLIS - DURATION_MILLIS / 2);
            assertCompleted(fleet);
        }
    }

    @Nested
    class BadVersions {
        @ParameterizedTest
        @MethodSource("org.plantainwharf.rollout.RolloutFleetTest#seeds")
        void areRolledBack(long seed) {
            RolloutFleet fleet = RolloutFleet.create(seed);
            long before = fleet.requests();
            fleet.order(DURATION_MILLIS, 0.6);
            fleet.advance(DURATION_MILLIS);
            assertRolledBack(fleet, before);
        }

        @ParameterizedTest
        @MethodSource("org.plantainwharf.rollout.RolloutFleetTest#seeds")
        void areRolledBackWhenTheLeaderIsLost(long seed) {
            RolloutFleet fleet = RolloutFleet.create(seed);
            long before = fleet.requests();
            fleet.order(DURATION_MILLIS, 0.4);
            fleet.advance(3_300);
            fleet.loseLeader(1_500);
            fleet.advance(DURATION_MILLIS);
            assertRolledBack(fleet, before);
        }

        @ParameterizedTest
        @MethodSource("org.plantainwharf.rollout.RolloutFleetTest#seeds")
        void areRolledBackWhenAllDaemonsRestart(long seed) {
            RolloutFleet fleet = RolloutFleet.create(seed);
            long before = fleet.requests();
            fleet.order(DURATION_MILLIS, 0.4);
            fleet.advance(3_400);
            fleet.nodes().forEach(node -> fleet.restart(node, 300));
            fleet.advance(DURATION_MILLIS);
            assertRolledBack(fleet, before);
        }
    }

    @Nested
    class LostLogs {
        /** Without a quorum there is no verdict, and nothing goes to the target once the copies of the log are old. */
        @ParameterizedTest
        @MethodSource("org.plantainwharf.rollout.RolloutFleetTest#seeds")
        void keepTheTargetFromRequestsUntilAQuorumIsBack(long seed) {
            RolloutFleet fleet = RolloutFleet.create(seed);
            fleet.order(2 * DURATION_MILLIS, 0.002);
            fleet.advance(5_000);
            fleet.setQuorum(false);
            fleet.advance(2_100);
            long outOfTouch = fleet.nowMillis();
            fleet.advance(4_000);
            assertEquals(0, fleet.sentToTargetSince(outOfTouch));
            assertTrue(fleet.sentToOldSince(outOfTouch) > 400);
            assertEquals(Optional.of(new RolloutPhase.Observing()), fleet.phase());
            fleet.setQuorum(true);
            fleet.advance(2 * DURATION_MILLIS - 11_100);
            assertCompleted(fleet);
        }

        @Test
        void keepADaemonThatIsCutOffFromTheTarget() {
            RolloutFleet fleet = RolloutFleet.create(1);
            fleet.order(DURATION_MILLIS, 0.002);
            fleet.advance(4_000);
            RolloutFleet.Node node = fleet.entries().getFirst();
            fleet.cutOff(node, true);
            fleet.advance(2_100);
            fleet.sentByCutOff().clear();
            fleet.advance(DURATION_MILLIS);
            assertEquals(List.of(), fleet.sentByCutOff());
            assertCompleted(fleet);
        }

        /** A daemon that has not heard of the second rollout must not begin anything at its target. */
        @Test
        void keepADaemonFromAVersionThatAppearsDuringACut() {
            RolloutFleet fleet = RolloutFleet.create(2);
            fleet.recordFormerRollout();
            fleet.advance(1_000);
            RolloutFleet.Node node = fleet.entries().getFirst();
            fleet.cutOff(node, true);
            fleet.order(DURATION_MILLIS, 0.002);
            fleet.advance(8_000);
            assertEquals(List.of(), fleet.sentByCutOff());
            assertTrue(fleet.sentToTargetSince(0) > 20);
        }
    }

    @Nested
    class WithoutARollout {
        @Test
        void allVersionsAreServedAsBefore() {
            RolloutFleet fleet = RolloutFleet.create(3);
            fleet.startTargetServers();
            fleet.advance(3_000);
            long both = fleet.nowMillis();
            fleet.advance(2_000);
            long target = fleet.sentToTargetSince(both);
            assertTrue(target > 80 && fleet.sentToOldSince(both) > 80, "target " + target);
            assertEquals(0, fleet.refusals(ErrorKind.NO_SERVER_AVAILABLE));
            assertTrue(fleet.lines("attempt_started").stream()
                    .noneMatch(line -> line.fields().contains("rollout")));
        }

        /** Daemons that lose the log serve by what they know, also versions that appear then. */
        @Test
        void versionsThatAppearWithoutTheLogAreServed() {
            RolloutFleet fleet = RolloutFleet.create(4);
            fleet.setQuorum(false);
            fleet.advance(3_000);
            fleet.startTargetServers();
            fleet.advance(3_000);
            assertTrue(fleet.sentToTargetSince(0) > 50);
        }
    }

    /** An operator must see from the lines of one request why it went where it went. */
    @Nested
    class LogLines {
        @Test
        void tellRolloutPhaseAndReasonOfEachAttempt() {
            RolloutFleet fleet = RolloutFleet.create(5);
            fleet.order(DURATION_MILLIS, 0.002);
            fleet.advance(DURATION_MILLIS);
            List<LogEffect> toTarget = fleet.lines("attempt_started").stream()
                    .filter(line -> line.fields().contains(RolloutFleet.TARGET)
                            && line.fields().contains("within_share"))
                    .toList();
            assertTrue(!toTarget.isEmpty());
            assertTrue(toTarget.stream().allMatch(line -> line.fields().contains("phase")));
            assertTrue(!fleet.lines("rollout_step").isEmpty());
            assertEquals(1, fleet.lines("rollout_verdict").size());
        }
    }
}
