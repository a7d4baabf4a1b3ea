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

/** Guards against hosts that cost more than planned and against starts where the platform keeps refusing. */
class PlacementTest {
    private static final Place CHEAP = new Place(AvailabilityZone.of("zone-1"), HostClass.of("spot"));
    private static final Place OTHER_ZONE = new Place(AvailabilityZone.of("zone-2"), HostClass.of("spot"));
    private static final Place FIRM = new Place(AvailabilityZone.of("zone-1"), HostClass.of("on-demand"));

    private final List<Budget> budgets =
            List.of(budget(CHEAP, 1.0, 3.0, true), budget(OTHER_ZONE, 1.1, 3.3, true), budget(FIRM, 1.6, 3.2, false));
    private final Map<Place, Integer> hosts = new HashMap<>();
    private final Map<Place, PlaceHistory> histories = new HashMap<>();
    private final SplittableRandom random = new SplittableRandom(1);

    private static Budget budget(Place place, double price, double maximum, boolean reclaimable) {
        return new Budget(place.zone(), place.hostClass(), price, maximum, reclaimable);
    }

    private Optional<Place> choose(long nowNanos) {
        return Placement.choose(budgets, hosts, histories, nowNanos);
    }

    private PlaceHistory history(Place place) {
        return histories.computeIfAbsent(place, absent -> PlaceHistory.create(0));
    }

    @Nested
    class Prices {
        @Test
        void cheapestComesFirst() {
            assertEquals(Optional.of(CHEAP), choose(0));
        }

        @Test
        void hostsAreSpreadOverZonesOfLikePrice() {
            hosts.put(CHEAP, 1);
            assertEquals(Optional.of(OTHER_ZONE), choose(0));
        }

        @Test
        void budgetsAreNeverExceeded() {
            for (int started = 0; started < 20; started++) {
                choose(0).ifPresent(place -> hosts.merge(place, 1, Integer::sum));
            }
            assertEquals(Map.of(CHEAP, 3, OTHER_ZONE, 3, FIRM, 2), hosts);
            assertEquals(Optional.empty(), choose(0));
        }
    }

    @Nested
    class Refusals {
        @Test
        void nextStartGoesElsewhereAtOnce() {
            history(CHEAP).refused(0, random);
            assertEquals(Optional.of(OTHER_ZONE), choose(0));
        }

        @Test
        void pausesDoubleUpToTenMinutes() {
            PlaceHistory history = history(CHEAP);
            long now = 0;
            for (long longestMillis = 5_000; longestMillis < 2_000_000; longestMillis *= 2) {
                history.refused(now, random);
                long longest = TimeUnit.MILLISECONDS.toNanos(Math.min(longestMillis, 600_000));
                assertEquals(false, history.mayStart(now + longest / 2 - 1));
                assertEquals(true, history.mayStart(now + longest));
                now += longest;
            }
        }

        @Test
        void oldOnesFade() {
            history(CHEAP).refused(0, random);
            assertEquals(Optional.of(CHEAP), choose(TimeUnit.HOURS.toNanos(2)));
        }
    }

    @Nested
    class Reclaims {
        @Test
        void waveMovesStartsToOtherZonesAndThenToFirmHosts() {
            history(CHEAP).reclaimed(0);
            assertEquals(Optional.of(OTHER_ZONE), choose(0));
            history(CHEAP).reclaimed(0);
            history(OTHER_ZONE).reclaimed(0);
            history(OTHER_ZONE).reclaimed(0);
            assertEquals(Optional.of(FIRM), choose(0));
        }
    }
}
