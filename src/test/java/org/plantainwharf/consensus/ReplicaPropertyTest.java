package org.plantainwharf.consensus;

import java.util.Optional;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Runs random fault schedules against production replicas. Guards against lost committed entries, two leaders in a
 * term, overlapping leases and hosts that never catch up. A failure message contains the seed of the schedule.
 */
class ReplicaPropertyTest {
    private static void run(long seed, RandomSchedule.Fault fault) {
        try {
            RandomSchedule.create(seed, fault).run();
        } catch (RuntimeException | AssertionError e) {
            throw new AssertionError("schedule seed " + seed + ": " + e.getMessage(), e);
        }
    }

    @Group
    class Replicas {
        @Property(tries = 80, seed = "20261204", shrinking = ShrinkingMode.OFF)
        void neverLoseCommittedEntriesNorLeadTwiceNorOverlapLeases(@ForAll long seed) {
            run(seed, RandomSchedule.Fault.NONE);
        }
    }

    /** Verifies that the checks can fail: each test violates one protocol rule, which the schedules must detect. */
    @Nested
    class BrokenReplicas {
        private static final int SCHEDULES = 400;

        private static Optional<String> firstViolation(RandomSchedule.Fault fault) {
            return LongStream.range(0, SCHEDULES)
                    .boxed()
                    .flatMap(seed -> violation(seed, fault).stream())
                    .findFirst();
        }

        private static Optional<String> violation(long seed, RandomSchedule.Fault fault) {
            try {
                RandomSchedule.create(seed, fault).run();
                return Optional.empty();
            } catch (RandomSchedule.NotCaughtUp e) {
                return Optional.empty();
            } catch (ReplicaInvariants.Violation e) {
                return Optional.of("seed " + seed + ": " + e.getMessage());
            } catch (IllegalStateException e) {
                return Optional.of("seed " + seed + ": " + e.getMessage());
            }
        }

        @Test
        void acknowledgingBeforeSyncIsCaught() {
            assertTrue(
                    firstViolation(RandomSchedule.Fault.ACKNOWLEDGE_BEFORE_SYNC).isPresent());
        }

        @Test
        void votingDespiteALeaderIsCaught() {
            Optional<String> violation = firstViolation(RandomSchedule.Fault.VOTE_DESPITE_LEADER);
            assertTrue(violation.orElse("").contains("overlap"));
        }

        @Test
        void votingWithAnEmptyDiskIsCaught() {
            assertTrue(firstViolation(RandomSchedule.Fault.KEEP_IDENTITY_ON_EMPTY_DISK)
                    .isPresent());
        }
    }
}
