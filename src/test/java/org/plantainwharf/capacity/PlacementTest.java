package org.plantainwharf.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.sheet.Budget;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against starts that exceed a budget, and against repeated starts in pools that keep refusing them. */
class PlacementTest {
    private static final CapacityPool CHEAP = new CapacityPool(AvailabilityZone.of("zone-1"), HostClass.of("spot"));
    private static final CapacityPool OTHER_ZONE =
            new CapacityPool(AvailabilityZone.of("zone-2"), HostClass.of("spot"));
    private static final CapacityPool ON_DEMAND =
            new CapacityPool(AvailabilityZone.of("zone-1"), HostClass.of("on-demand"));

    private final List<Budget> budgets = List.of(
            budget(CHEAP, 1.0, 3.0, true), budget(OTHER_ZONE, 1.1, 3.3, true), budget(ON_DEMAND, 1.6, 3.2, false));
    private final Map<CapacityPool, Integer> hosts = new HashMap<>();
    private final Map<CapacityPool, CapacityPoolHistory> histories = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom(1);

    private static Budget budget(CapacityPool pool, double price, double maximum, boolean reclaimable) {
        return new Budget(pool.zone(), pool.hostClass(), price, maximum, reclaimable);
    }

    private Optional<CapacityPool> choose(long nowNanos) {
        return Placement.choose(budgets, hosts, histories, nowNanos);
    }

    private CapacityPoolHistory history(CapacityPool pool) {
        return histories.computeIfAbsent(pool, absent -> CapacityPoolHistory.create(0));
    }

    @Nested
    class Prices {
        @Test
        void cheapestComesFirst() {
            assertEquals(Optional.of(CHEAP), choose(0));
        }

        @Test
        void hostsAreSpreadOverZonesOfSimilarPrice() {
            hosts.put(CHEAP, 1);
            assertEquals(Optional.of(OTHER_ZONE), choose(0));
        }

        @Test
        void budgetsAreNeverExceeded() {
            for (int started = 0; started < 20; started++) {
                choose(0).ifPresent(pool -> hosts.merge(pool, 1, Integer::sum));
            }
            assertEquals(Map.of(CHEAP, 3, OTHER_ZONE, 3, ON_DEMAND, 2), hosts);
            assertEquals(Optional.empty(), choose(0));
        }
    }

    @Nested
    class Refusals {
        @Test
        void nextStartGoesElsewhereAtOnce() {
            history(CHEAP).recordRefusal(0, random);
            assertEquals(Optional.of(OTHER_ZONE), choose(0));
        }

        @Test
        void backoffDoublesUpToTenMinutes() {
            CapacityPoolHistory history = history(CHEAP);
            long now = 0;
            for (long longestMillis = 5_000; longestMillis < 2_000_000; longestMillis *= 2) {
                history.recordRefusal(now, random);
                long longest = TimeUnit.MILLISECONDS.toNanos(Math.min(longestMillis, 600_000));
                assertEquals(false, history.mayStart(now + longest / 2 - 1));
                assertEquals(true, history.mayStart(now + longest));
                now += longest;
            }
        }

        @Test
        void oldRefusalsDecay() {
            history(CHEAP).recordRefusal(0, random);
            assertEquals(Optional.of(CHEAP), choose(TimeUnit.HOURS.toNanos(2)));
        }
    }

    @Nested
    class Reclaims {
        @Test
        void repeatedReclaimsMoveStartsToOtherZonesAndThenToOnDemandHosts() {
            history(CHEAP).recordReclaim(0);
            assertEquals(Optional.of(OTHER_ZONE), choose(0));
            history(CHEAP).recordReclaim(0);
            history(OTHER_ZONE).recordReclaim(0);
            history(OTHER_ZONE).recordReclaim(0);
            assertEquals(Optional.of(ON_DEMAND), choose(0));
        }
    }
}
