package org.plantainwharf.forward;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.registry.ServerPhase;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against a kind of request that is served too little while no counter shows it, or why. */
class KindTallyTest {
    private static final String PREFIX = "forward.kind.desk.0.";

    private static ForwardHarness harness(long tokensPerSecond) {
        ForwardHarness harness = new ForwardHarness(
                List.of(ForwardHarness.route("/safe/", Repeatability.SAFE, 1, false)), tokensPerSecond);
        harness.applyDocument();
        return harness;
    }

    @Nested
    class Answers {
        @Test
        void areCountedByTheTargetOfTheirRoute() {
            ForwardHarness harness = harness(1_000_000);
            harness.reportServer("i-1", ServerPhase.READY);
            harness.startAnswer(harness.arriveAndStart("/safe/1"));
            ForwardEffect.StartForward late = harness.arriveAndStart("/safe/2");
            harness.advance(60_000);
            harness.startAnswer(late);
            assertEquals(2, harness.count(PREFIX + "asked"));
            assertEquals(1, harness.count(PREFIX + "in_target"));
            assertEquals(1, harness.count(PREFIX + "late"));
        }
    }

    @Nested
    class Refusals {
        @Test
        void withoutAnyServerShowNoRoom() {
            ForwardHarness harness = harness(1_000);
            harness.arrive("/safe/1", Optional.of(ForwardHarness.KEY), 1_000);
            assertEquals(1, harness.count(PREFIX + "failed.no_server_available"));
            assertEquals(0, harness.count(PREFIX + "failed_with_room.near"));
        }

        @Test
        void byTheLimitOfAnAccountShowTheRoomAtServers() {
            ForwardHarness harness = harness(1_000);
            harness.reportServer("i-1", ServerPhase.READY);
            long refused = 0;
            for (int index = 0; index < 100; index++) {
                List<ForwardEffect> effects = harness.arrive("/safe/" + index, Optional.of(ForwardHarness.KEY), 900);
                refused += effects.getLast() instanceof ForwardEffect.RefuseForward ? 1 : 0;
                if (effects.getLast() instanceof ForwardEffect.StartForward start) {
                    harness.endAttempt(start, new ForwardOutcome.Completed(false));
                }
            }
            assertEquals(refused, harness.count(PREFIX + "failed.account_limit_exceeded"));
            assertEquals(
                    refused,
                    harness.count(PREFIX + "failed_with_room.near") + harness.count(PREFIX + "failed_with_room.far"));
        }
    }
}
