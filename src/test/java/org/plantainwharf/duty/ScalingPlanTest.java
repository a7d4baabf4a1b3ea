package org.plantainwharf.duty;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against plans that lose too many servers to one reclaim, that remove ordinary servers before their
 * replacements run, or that exceed the bounds of a zone.
 */
class ScalingPlanTest {
    private static final AvailabilityZone A = AvailabilityZone.of("zone-a");
    private static final AvailabilityZone B = AvailabilityZone.of("zone-b");
    private static final AvailabilityZone C = AvailabilityZone.of("zone-c");
    private static final ServiceName SERVICE = ServiceName.of("engine");
    private static final ServiceRule.Scaling SCALING =
            new ServiceRule.Scaling(1, 4, 4_000, 0.18, Map.of(A, 1.0, B, 0.8, C, 1.25));

    private static Map<ServerPool, Integer> plan(ScalingPlan.Target target, ScalingPlan.State state) {
        return ScalingPlan.of(SERVICE, SCALING, target, state);
    }

    private static ScalingPlan.State running(
            Map<AvailabilityZone, Integer> ordinary,
            Map<AvailabilityZone, Integer> reclaimable,
            Map<AvailabilityZone, Integer> reclaimableLimit) {
        return new ScalingPlan.State(ordinary, reclaimable, Map.of(), reclaimableLimit);
    }

    private static int number(Map<ServerPool, Integer> plan, AvailabilityZone zone, boolean reclaimable) {
        return plan.getOrDefault(new ServerPool(SERVICE, zone, reclaimable), 0);
    }

    private static int sum(Map<ServerPool, Integer> plan, boolean reclaimable) {
        return plan.entrySet().stream()
                .filter(entry -> entry.getKey().reclaimable() == reclaimable)
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    @Nested
    class ReclaimableServers {
        @Test
        void areSpreadSoThatOneReclaimTakesASmallPart() {
            Map<ServerPool, Integer> plan =
                    plan(new ScalingPlan.Target(1, 4, 7), running(Map.of(B, 1), Map.of(A, 2, B, 2, C, 2), Map.of()));
            assertEquals(2, number(plan, A, true));
            assertEquals(2, number(plan, B, true));
            assertEquals(2, number(plan, C, true));
            assertEquals(1, sum(plan, false));
        }

        @Test
        void thatRunStayWhereMoreAreRefused() {
            Map<ServerPool, Integer> plan = plan(
                    new ScalingPlan.Target(1, 4, 7), running(Map.of(B, 1), Map.of(A, 1, B, 1, C, 1), Map.of(A, 1)));
            assertEquals(1, number(plan, A, true));
            assertEquals(2, number(plan, C, true));
        }
    }

    /** Ordinary servers cost several times as much, so they must not replace what other zones still have. */
    @Nested
    class ReclaimedZones {
        @Test
        void areReplacedByReclaimableServersOfOtherZones() {
            Map<ServerPool, Integer> plan =
                    plan(new ScalingPlan.Target(1, 4, 7), running(Map.of(B, 1), Map.of(B, 2, C, 2), Map.of(A, 0)));
            assertEquals(0, number(plan, A, true));
            assertEquals(6, sum(plan, true), "plan was " + plan);
        }
    }

    @Nested
    class OrdinaryServers {
        @Test
        void replaceReclaimableOnesThatAreTakenAway() {
            Map<ServerPool, Integer> plan = plan(
                    new ScalingPlan.Target(1, 4, 7), running(Map.of(B, 1), Map.of(B, 1), Map.of(A, 0, B, 1, C, 0)));
            assertTrue(sum(plan, false) >= 3, "plan was " + plan);
        }

        @Test
        void stayUntilTheirReplacementsRun() {
            ScalingPlan.State arriving =
                    new ScalingPlan.State(Map.of(A, 2, B, 2), Map.of(), Map.of(A, 2, B, 2, C, 2), Map.of());
            assertEquals(4, sum(plan(new ScalingPlan.Target(1, 4, 7), arriving), false));
            ScalingPlan.State arrived = running(Map.of(A, 2, B, 2), Map.of(A, 2, B, 2, C, 2), Map.of());
            assertEquals(1, sum(plan(new ScalingPlan.Target(1, 4, 7), arrived), false));
        }
    }

    @Nested
    class Bounds {
        @Test
        void holdInEachZoneForBothKindsTogether() {
            for (int wanted = 1; wanted < 30; wanted++) {
                Map<ServerPool, Integer> plan =
                        plan(new ScalingPlan.Target(1, wanted, wanted + 3), running(Map.of(), Map.of(), Map.of(A, 0)));
                for (AvailabilityZone zone : SCALING.zonePrices().keySet()) {
                    int both = number(plan, zone, true) + number(plan, zone, false);
                    assertTrue(both >= 1 && both <= 4, "wanted " + wanted + ", plan " + plan);
                }
            }
        }
    }

    @Nested
    class LargeNumbers {
        private static final int MOST = ServiceRule.Scaling.MAXIMUM_SERVERS;

        private static Map<ServerPool, Integer> plan(ServiceRule.Scaling scaling, int servers) {
            return ScalingPlan.of(
                    SERVICE,
                    scaling,
                    new ScalingPlan.Target(1, servers, servers),
                    running(Map.of(), Map.of(), Map.of()));
        }

        /** The control thread placed each server by itself, so that a large minimum kept it busy for seconds. */
        @Test
        @Timeout(1)
        void arePlacedWithoutAStepForEachServer() {
            ServiceRule.Scaling scaling =
                    new ServiceRule.Scaling(MOST / 3, MOST, 4_000, 0.18, Map.of(A, 1.0, B, 0.8, C, 1.25));
            for (int repetition = 0; repetition < 20; repetition++) {
                assertEquals(MOST - 1, sum(plan(scaling, MOST), true));
            }
        }

        /** A maximum beyond the largest int had become another one, such as none at all. */
        @ParameterizedTest
        @ValueSource(longs = {MOST, 1L << 31, 1L << 32, (1L << 32) + 1, Long.MAX_VALUE})
        void ofAMaximumThatIsNotReachedChangeNothing(long maximum) {
            ServiceRule.Scaling scaling =
                    new ServiceRule.Scaling(1, maximum, 4_000, 0.18, Map.of(A, 1.0, B, 0.8, C, 1.25));
            assertEquals(plan(SCALING, 4), plan(scaling, 4));
        }

        /** Adding servers one by one is what the plan promises. */
        @Test
        void areSpreadAsOneByOne() {
            ServiceRule.Scaling scaling = new ServiceRule.Scaling(0, 5, 4_000, 0.18, Map.of(A, 1.0, B, 0.8, C, 1.25));
            Map<AvailabilityZone, Integer> expected = new HashMap<>();
            List<AvailabilityZone> byPrice = List.of(B, A, C);
            for (int servers = 1; servers < 20; servers++) {
                Map<ServerPool, Integer> plan = ScalingPlan.of(
                        SERVICE,
                        scaling,
                        new ScalingPlan.Target(0, 0, servers),
                        running(Map.of(), Map.of(), Map.of(A, 2)));
                byPrice.stream()
                        .filter(zone -> expected.getOrDefault(zone, 0) < (zone.equals(A) ? 2 : 5))
                        .min(Comparator.comparingInt(zone -> expected.getOrDefault(zone, 0)))
                        .ifPresent(zone -> expected.merge(zone, 1, Integer::sum));
                for (AvailabilityZone zone : byPrice) {
                    assertEquals(expected.getOrDefault(zone, 0), number(plan, zone, true), servers + " servers");
                }
            }
        }
    }
}
