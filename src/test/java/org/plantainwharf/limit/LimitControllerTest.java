package org.plantainwharf.limit;

import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against accounts that exceed their limit by spreading their calls over hosts, and against hosts that cannot
 * serve.
 */
class LimitControllerTest {
    private static final int HOSTS = 4;
    private static final double ROUNDING = 1e-6;

    private static int[] arrivalsAt(int host, int calls) {
        int[] arrivals = new int[HOSTS];
        arrivals[host] = calls;
        return arrivals;
    }

    @Nested
    class Shares {
        @Test
        void followTheDemand() {
            LimitFleet fleet = new LimitFleet(HOSTS, 1, 0, 2_000_000, 0);
            fleet.lead(0);
            for (int step = 0; step < 200; step++) {
                fleet.step(arrivalsAt(2, 10));
            }
            assertTrue(fleet.usableRate(2) >= 0.75 * LimitFleet.LIMIT, "the busy host: " + fleet.usableRate(2));
            for (int step = 0; step < 200; step++) {
                fleet.step(arrivalsAt(3, 10));
            }
            assertTrue(
                    fleet.usableRate(3) >= 0.75 * LimitFleet.LIMIT, "after the demand moved: " + fleet.usableRate(3));
        }

        /**
         * A host that cannot name the leader must still report its demand and receive a share beyond the guaranteed
         * one.
         */
        @Test
        void reachAHostThatDoesNotKnowTheLeader() {
            LimitFleet fleet = new LimitFleet(HOSTS, 1, 0, 2_000_000, 0);
            fleet.lead(0);
            fleet.hideLeaderFrom(2);
            for (int step = 0; step < 200; step++) {
                fleet.step(arrivalsAt(2, 10));
            }
            assertTrue(fleet.usableRate(2) >= 0.75 * LimitFleet.LIMIT, "the busy host: " + fleet.usableRate(2));
        }

        @Test
        void fallToTheGuaranteedRateWithoutALeader() {
            LimitFleet fleet = new LimitFleet(HOSTS, 1, 0, 2_000_000, 0);
            fleet.lead(0);
            for (int step = 0; step < 200; step++) {
                fleet.step(arrivalsAt(2, 10));
            }
            fleet.isolateLeader();
            for (int step = 0; step < 100; step++) {
                fleet.step(arrivalsAt(2, 10));
            }
            assertEquals(0.25 * LimitFleet.LIMIT / HOSTS, fleet.usableRate(2), ROUNDING);
        }
    }

    @Group
    class RandomSchedules {
        @Property(tries = 60, seed = "4242")
        void neverLetSharesSumToMoreThanTheLimit(@ForAll long seed) {
            SplittableRandom random = new SplittableRandom(seed);
            LimitFleet fleet =
                    new LimitFleet(HOSTS, seed, 0.4 * random.nextDouble(), random.nextLong(4_000_000_000L), 0.04);
            for (int step = 0; step < 600; step++) {
                if (!fleet.hasLeader() && random.nextInt(20) == 0) {
                    fleet.lead(random.nextInt(HOSTS));
                } else if (fleet.hasLeader() && random.nextInt(200) == 0) {
                    fleet.isolateLeader();
                }
                int busy = (step / 40 + (int) Math.floorMod(seed, (long) HOSTS)) % HOSTS;
                fleet.step(arrivalsAt(busy, random.nextInt(8)));
                assertTrue(
                        fleet.usableRate() <= LimitFleet.LIMIT + ROUNDING, "step " + step + ": " + fleet.usableRate());
            }
        }
    }
}
