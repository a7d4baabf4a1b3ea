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
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.origin.OriginAnswer;
import org.plantainwharf.origin.StreamOrigin;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.rollout.RolloutPhase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests and streams that go to a version that the phase of a rollout forbids. */
class RolloutChoiceTest {
    private static final ServerVersion OLD = ServerVersion.of("blue");
    private static final ServerVersion TARGET = ServerVersion.of("green");
    private static final RolloutPhase RETIRING = new RolloutPhase.Retiring();
    private static final RolloutPhase COMPLETED = new RolloutPhase.Completed();
    private static final RolloutPhase ROLLED_BACK = new RolloutPhase.RolledBack("fails");
    private static final ForwardOutcome BROKEN = new ForwardOutcome.Broken(true, true, "reset");

    private final ForwardHarness harness = new ForwardHarness(
            List.of(
                    ForwardHarness.route("/safe/", Repeatability.SAFE, 4, false),
                    ForwardHarness.route("/resume/", Repeatability.STREAM, 4, true)),
            1_000_000);

    /** Servers 1 to 4 run the old version, 5 to 8 the target. */
    @BeforeEach
    void serveBothVersions() {
        harness.applyDocument();
        harness.listVersion(OLD);
        harness.listVersion(TARGET);
        report(1, 4, ServerPhase.READY);
        report(5, 8, ServerPhase.READY);
        harness.beginRollout(TARGET);
    }

    private void report(int from, int to, ServerPhase phase) {
        for (int server = from; server <= to; server++) {
            harness.reportServer("i-" + server, 1, phase, server <= 4 ? OLD : TARGET);
        }
    }

    private static ForwardEffect.StartForward started(List<ForwardEffect> effects) {
        return assertInstanceOf(ForwardEffect.StartForward.class, effects.getLast());
    }

    private static ErrorKind refusal(List<ForwardEffect> effects) {
        return assertInstanceOf(ForwardEffect.RefuseForward.class, effects.getLast())
                .failure()
                .kind();
    }

    private static boolean isTarget(ForwardEffect.StartForward start) {
        return Integer.parseInt(start.server().value().substring(2)) > 4;
    }

    private ForwardEffect.StartForward arrive(String path) {
        return started(harness.arrive(path, Optional.of(ForwardHarness.KEY), 3_000));
    }

    private int toTarget(int requests) {
        int targets = 0;
        for (int request = 0; request < requests; request++) {
            ForwardEffect.StartForward start = arrive("/safe/1");
            targets += isTarget(start) ? 1 : 0;
            harness.endAttempt(start, new ForwardOutcome.Completed(false));
        }
        return targets;
    }

    private List<ForwardEffect> takeUp(ServerVersion version) {
        long ticket = harness.nextTicket();
        harness.takeUp("/resume/x", Optional.of("first"), 3_000);
        harness.takeOriginRequest();
        return harness.decideOrigin(
                ticket,
                new OriginAnswer.Known(new StreamOrigin(ForwardHarness.SERVICE, version), OriginAnswer.Basis.RECORD));
    }

    @Nested
    class Beginnings {
        @Test
        void keepTheShareWhileObserving() {
            int targets = toTarget(160);
            assertTrue(targets >= 7 && targets <= 8, "targets " + targets);
        }

        @Test
        void keepTheShareWhileGrowing() {
            harness.moveRollout(new RolloutPhase.Growing(250));
            int targets = toTarget(160);
            assertTrue(targets >= 37 && targets <= 41, "targets " + targets);
        }

        @Test
        void goToTheTargetOnlyOnceOthersRetire() {
            harness.moveRollout(RETIRING);
            assertEquals(50, toTarget(50));
            harness.moveRollout(COMPLETED);
            assertEquals(50, toTarget(50));
        }

        @Test
        void goToOldServersRatherThanNowhereAfterCompletion() {
            harness.moveRollout(COMPLETED);
            report(5, 8, ServerPhase.GONE);
            harness.tick();
            assertEquals(0, toTarget(10));
        }

        @Test
        void neverGoToTheTargetAfterARollBack() {
            harness.moveRollout(new RolloutPhase.Growing(500));
            harness.moveRollout(ROLLED_BACK);
            assertEquals(0, toTarget(100));
            report(1, 4, ServerPhase.GONE);
            harness.tick();
            assertEquals(
                    ErrorKind.NO_SERVER_AVAILABLE,
                    refusal(harness.arrive("/safe/1", Optional.of(ForwardHarness.KEY), 3_000)));
        }

        @Test
        void neverGoToTheTargetWhileTheCopyOfTheLogIsOld() {
            harness.moveRollout(RETIRING);
            harness.advance(2_100);
            report(1, 4, ServerPhase.READY);
            report(5, 8, ServerPhase.READY);
            assertEquals(0, toTarget(50));
        }
    }

    @Nested
    class Repeats {
        @Test
        void neverGoToTheTargetAfterARollBack() {
            harness.moveRollout(RETIRING);
            ForwardEffect.StartForward start = arrive("/safe/1");
            assertTrue(isTarget(start));
            harness.moveRollout(ROLLED_BACK);
            ForwardEffect.StartForward repeat =
                    started(harness.endAttempt(start, new ForwardOutcome.Refused(503, OptionalLong.empty())));
            assertTrue(!isTarget(repeat), repeat.toString());
        }
    }

    @Nested
    class Streams {
        private ForwardEffect.StartForward begun(RolloutPhase phase) {
            harness.moveRollout(phase);
            ForwardEffect.StartForward start = arrive("/resume/1");
            harness.beginStream(start);
            return start;
        }

        @Test
        void goOnAtTheOldVersionWhileItRetires() {
            ForwardEffect.StartForward start = arrive("/resume/1");
            assertTrue(!isTarget(start));
            harness.beginStream(start);
            harness.moveRollout(RETIRING);
            assertTrue(!isTarget(started(harness.endAttempt(start, BROKEN))));
            assertTrue(!isTarget(started(takeUp(OLD))));
        }

        @Test
        void goOnAtTheTargetInAllPhases() {
            ForwardEffect.StartForward start = begun(RETIRING);
            harness.moveRollout(COMPLETED);
            assertTrue(isTarget(started(harness.endAttempt(start, BROKEN))));
            assertTrue(isTarget(started(takeUp(TARGET))));
        }

        @Test
        void areBrokenOffWhenTheirVersionIsRolledBack() {
            ForwardEffect.StartForward start = begun(RETIRING);
            assertTrue(isTarget(start));
            harness.moveRollout(ROLLED_BACK);
            assertInstanceOf(
                    ForwardEffect.BreakForward.class,
                    harness.endAttempt(start, BROKEN).getLast());
        }

        @Test
        void areRefusedAsGoneAfterAVerdict() {
            harness.moveRollout(ROLLED_BACK);
            assertEquals(ErrorKind.STREAM_VERSION_GONE, refusal(takeUp(TARGET)));
            assertTrue(!isTarget(started(takeUp(OLD))));
        }

        @Test
        void ofTheOldVersionAreRefusedAsGoneAfterCompletion() {
            harness.moveRollout(COMPLETED);
            assertEquals(ErrorKind.STREAM_VERSION_GONE, refusal(takeUp(OLD)));
        }

        /** The stream may go on there later, so it is not told that its version is gone. */
        @Test
        void ofTheTargetWaitWhileTheCopyOfTheLogIsOld() {
            harness.moveRollout(RETIRING);
            harness.advance(2_100);
            report(5, 8, ServerPhase.READY);
            assertEquals(ErrorKind.NO_SERVER_AVAILABLE, refusal(takeUp(TARGET)));
        }
    }
}
