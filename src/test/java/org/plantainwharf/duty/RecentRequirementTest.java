package org.plantainwharf.duty;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against servers that are given up before their first callers, or by a new duty holder that does not know yet
 * what callers need: they start only seconds after they are ordered again.
 */
class RecentRequirementTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final RecentRequirement requirement = RecentRequirement.beginning(0);

    private int update(int required, boolean hasDemand, int present, long nowNanos) {
        return requirement.update(required, hasDemand, present, servers -> servers + 3, nowNanos);
    }

    @Nested
    class BeforeTheFirstCaller {
        @Test
        void keepsWhatTheOperatorStarted() {
            assertEquals(17, update(4, false, 20, 0));
            assertEquals(17, update(4, false, 20, 59 * SECOND));
        }

        @Test
        void givesUpWhatNobodyUsesForAMinute() {
            update(4, false, 20, 0);
            assertEquals(4, update(4, false, 20, RecentRequirement.UNUSED_KEEP_NANOS));
        }

        @Test
        void countsTheTimeAnewWhenCallersCome() {
            update(4, false, 20, 0);
            assertEquals(17, update(5, true, 20, 50 * SECOND));
            assertEquals(17, update(6, true, 20, 61 * SECOND));
            assertEquals(6, update(6, true, 20, 50 * SECOND + RecentRequirement.KEEP_NANOS));
        }
    }

    @Nested
    class NewDutyHolders {
        @Test
        void learnOfServersOneByOne() {
            assertTrue(requirement.learning(0));
            assertEquals(4, update(4, true, 5, 0));
            assertEquals(9, update(4, true, 12, SECOND));
            assertEquals(17, update(4, true, 20, 2 * SECOND));
            assertFalse(requirement.learning(RecentRequirement.LEARNING_NANOS));
            assertEquals(17, update(4, true, 8, RecentRequirement.LEARNING_NANOS));
        }

        @Test
        void doNotTakeTheirOwnSpareServersForDemand() {
            assertEquals(17, update(4, true, 20, 0));
            assertEquals(17, update(4, true, 20, SECOND));
        }

        @Test
        void followHigherDemandAtOnce() {
            update(4, true, 20, 0);
            assertEquals(30, update(30, true, 20, SECOND));
        }
    }

    @Nested
    class FallingDemand {
        @Test
        void isFollowedAfterTheTimeThatAWaveLasts() {
            update(30, true, 33, 0);
            assertEquals(30, update(10, true, 33, RecentRequirement.KEEP_NANOS - 1));
            assertEquals(10, update(10, true, 33, RecentRequirement.KEEP_NANOS));
        }

        @Test
        void startsAnewWithEachPeak() {
            update(30, true, 33, 0);
            update(30, true, 33, 10 * SECOND);
            assertEquals(30, update(10, true, 33, 21 * SECOND));
        }
    }
}
