package org.plantainwharf.forward;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.ServerPhase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that get no answer, or a wrong one, because of the size of numbers of a valid config. */
class RouteNumbersTest {
    private static final String PATH = "/large/1";

    private static ForwardHarness harness(
            long timeoutMillis, long targetLatencyMillis, List<RouteRule.Share> split, double tokensPerSecond) {
        RouteRule route = new RouteRule(
                RouteName.of("large"),
                "a.example",
                "/large/",
                Repeatability.SAFE,
                timeoutMillis,
                targetLatencyMillis,
                0,
                split,
                2,
                false,
                false,
                0);
        ForwardHarness harness = new ForwardHarness(List.of(route), tokensPerSecond);
        harness.applyDocument();
        harness.reportServer("i-1", ServerPhase.READY);
        return harness;
    }

    private static List<RouteRule.Share> split(int... weights) {
        return Arrays.stream(weights)
                .mapToObj(weight -> new RouteRule.Share(ForwardHarness.SERVICE, weight))
                .toList();
    }

    @Nested
    class Weights {
        /** No request of the route got any answer: the sum of the weights had become negative. */
        @Test
        void mayAddUpToMoreThanTheLargestInt() {
            ForwardHarness harness = harness(5_000, 300, split(2_000_000_000, 2_000_000_000), 0);
            for (int request = 0; request < 20; request++) {
                assertInstanceOf(ForwardEffect.StartForward.class, arrive(harness, 3_000));
            }
        }
    }

    @Nested
    class Times {
        /** Twice the target latency had become negative, so that each server was avoided at once. */
        @ParameterizedTest
        @ValueSource(longs = {Long.MAX_VALUE, Long.MAX_VALUE / 2 + 1})
        void ofAVeryLongTargetLatencyMakeNoServerOverdue(long targetLatencyMillis) {
            ForwardHarness harness = harness(Long.MAX_VALUE, targetLatencyMillis, split(1), 0);
            arrive(harness, 60_000);
            harness.advance(1_000);
            harness.tick();
            assertFalse(harness.board().forward().statistics(ServerId.of("i-1")).isAvoided(harness.nowNanos()));
        }

        @ParameterizedTest
        @ValueSource(longs = {Long.MAX_VALUE, Long.MAX_VALUE / 1_000_000, Long.MAX_VALUE / 1_000_000 + 1})
        void ofAVeryLongTimeoutEndNoRequest(long timeoutMillis) {
            ForwardHarness harness = harness(timeoutMillis, 300, split(1), 0);
            ForwardEffect.StartForward start =
                    assertInstanceOf(ForwardEffect.StartForward.class, arrive(harness, Long.MAX_VALUE));
            harness.advance(100_000);
            assertEquals(List.of(), harness.tick());
            assertTrue(start.remainingMillis(harness.nowNanos()) > 100_000_000);
        }

        /** The deadline of such a caller had wrapped around if its request had waited, so that it was kept for ever. */
        @ParameterizedTest
        @ValueSource(longs = {Long.MIN_VALUE, Long.MIN_VALUE / 1_000_000 - 1, -1, 0})
        void thatACallerHasNotLeftEndItsRequestAtOnce(long deadlineMillis) {
            ForwardHarness harness = harness(Long.MAX_VALUE, 300, split(1), 0);
            ForwardHead head = ForwardHead.of(
                    "id-1",
                    "a.example",
                    PATH,
                    Optional.of(ForwardHarness.KEY),
                    OptionalLong.of(deadlineMillis),
                    Optional.empty(),
                    Fingerprint.of("content"));
            List<ForwardEffect> effects =
                    harness.run(new ForwardEvent.ForwardArrived(1, head, harness.nowNanos() - 1_000_000));
            ForwardEffect.RefuseForward refused =
                    assertInstanceOf(ForwardEffect.RefuseForward.class, effects.getFirst());
            assertEquals(ErrorKind.QUEUE_TIMEOUT, refused.failure().kind());
        }
    }

    @Nested
    class Limits {
        @ParameterizedTest
        @ValueSource(doubles = {Double.MAX_VALUE, 1e300, Long.MAX_VALUE, Integer.MAX_VALUE})
        void thatAreNeverReachedRefuseNoRequest(double tokensPerSecond) {
            ForwardHarness harness = harness(5_000, 300, split(1), tokensPerSecond);
            for (int request = 0; request < 20; request++) {
                assertInstanceOf(ForwardEffect.StartForward.class, arrive(harness, 3_000));
                harness.advance(1);
            }
        }
    }

    private static ForwardEffect arrive(ForwardHarness harness, long deadlineMillis) {
        return harness.arrive(PATH, Optional.of(ForwardHarness.KEY), deadlineMillis)
                .getFirst();
    }
}
