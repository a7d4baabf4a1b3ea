package org.plantainwharf.server;

import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against new work for a backend server more than 5 s after it announced that it is leaving, and against leases
 * that delays, losses or frozen hosts extend.
 */
class LeavingServerTest {
    private static final long RUN_NANOS = 30_000 * SimulatedFleet.MILLI;

    @Group
    class RandomSchedules {
        @Property(tries = 300, seed = "1")
        void neverSendLateWorkOrExtendALease(@ForAll long seed) {
            SimulatedFleet fleet = new SimulatedFleet(seed, true, LeaseStart.fromToken());
            assertEquals(List.of(), fleet.run(RUN_NANOS));
        }
    }

    @Nested
    class Schedules {
        /** The property would hold trivially if the faults of a schedule kept every server from getting a lease. */
        @Test
        void mostAcceptWork() {
            long working = LongStream.range(0, 100)
                    .filter(seed -> {
                        SimulatedFleet fleet = new SimulatedFleet(seed, true, LeaseStart.fromToken());
                        fleet.run(RUN_NANOS);
                        return fleet.acceptedCount() > 0;
                    })
                    .count();
            assertTrue(working >= 90, working + " of 100 schedules accepted work");
        }
    }

    @Nested
    class LeaseCountedFromReceipt {
        @Test
        void violatesTheProperty() {
            LeaseStart fromReceipt = (tokenNanos, nowNanos) -> Optional.of(nowNanos);
            List<String> violations = LongStream.range(0, 100)
                    .mapToObj(seed -> new SimulatedFleet(seed, true, fromReceipt).run(RUN_NANOS))
                    .flatMap(List::stream)
                    .toList();
            assertTrue(violations.stream().anyMatch(text -> text.contains("sends new work")), "no late work found");
            assertTrue(violations.stream().anyMatch(text -> text.contains("holds a lease")), "no extended lease found");
        }
    }

    @Nested
    class WithoutFaults {
        private final SimulatedFleet fleet = new SimulatedFleet(1, false, LeaseStart.fromToken());

        @Test
        void everyHostUsesEveryServerUntilItLeaves() {
            assertEquals(List.of(), fleet.run(RUN_NANOS));
            assertTrue(fleet.everyServerAcceptedEverywhere());
            fleet.leave(0);
            assertEquals(List.of(), fleet.run(1_000 * SimulatedFleet.MILLI));
            assertFalse(fleet.everyServerAcceptedEverywhere());
        }
    }
}
