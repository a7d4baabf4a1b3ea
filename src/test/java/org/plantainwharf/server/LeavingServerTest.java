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

/** Guards the promise that a backend server that is leaving receives no new work after 5 s. */
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
        /** A schedule whose faults keep every server from getting a lease would show nothing. */
        @Test
        void mostAcceptWork() {
            long working = LongStream.range(0, 100)
                    .filter(seed -> {
                        SimulatedFleet fleet = new SimulatedFleet(seed, true, LeaseStart.fromToken());
                        fleet.run(RUN_NANOS);
                        return fleet.acceptedCount() > 0;
                    })
                    .count();
            assertTrue(working >= 90, working + " of 100 schedules let work through");
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
            assertTrue(violations.stream().anyMatch(text -> text.contains("sends new work")), "work sent too late");
            assertTrue(violations.stream().anyMatch(text -> text.contains("holds a lease")), "lease lengthened");
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
