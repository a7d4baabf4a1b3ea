package org.plantainwharf.limit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against accounts that exceed their limit because many daemons have something left at the same moment, and
 * against refusals below the limit on as many daemons.
 */
class AllowanceAtScaleTest {
    private static final int ENTRY_DAEMONS = 94;
    private static final double RATE_TOKENS_PER_SECOND = 257_548;

    private final AllowanceFleet fleet = new AllowanceFleet(ENTRY_DAEMONS, 1, RATE_TOKENS_PER_SECOND);

    private AccountCallers settledCallers(long seed) {
        AccountCallers callers = AccountCallers.create(fleet, ENTRY_DAEMONS, seed);
        callers.run(0.3 * RATE_TOKENS_PER_SECOND, 3_000);
        return callers;
    }

    private void assertWithinBound() {
        double maximum = fleet.maximumInWindow();
        assertTrue(maximum <= fleet.windowBound(), maximum + " tokens in a window of at most " + fleet.windowBound());
    }

    @Nested
    class AtTheLimit {
        /** Refused callers send again while the debt falls, so every daemon has a request when something is left. */
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3, 4, 5, 6})
        void daemonsThatHaveSomethingLeftAtOnceStayWithinTheBound(int seed) {
            AccountCallers callers = settledCallers(seed);
            callers.run(1.4 * RATE_TOKENS_PER_SECOND, 14_000);
            assertWithinBound();
        }

        /** Every bucket is full, and what daemons forward within a period is known to none of the others. */
        @ParameterizedTest
        @CsvSource({"3,1", "3,2", "3,3", "3,4", "6,1", "6,2", "6,3"})
        void aSuddenFloodStaysWithinTheBound(int multiple, int seed) {
            AccountCallers callers = settledCallers(seed);
            callers.run(multiple * RATE_TOKENS_PER_SECOND, 12_000);
            assertWithinBound();
        }

        /** Without a leader no daemon learns what the others forward. */
        @ParameterizedTest
        @CsvSource({"2,1", "2,2", "2,3", "3,1", "3,2", "3,3"})
        void aFloodThatBeginsBeforeTheLeaderFreezesStaysWithinTheBound(int multiple, int seed) {
            AccountCallers callers = settledCallers(seed);
            callers.run(multiple * RATE_TOKENS_PER_SECOND, 500);
            fleet.freezeLeader();
            callers.run(multiple * RATE_TOKENS_PER_SECOND, 1_300);
            fleet.changeLeader();
            callers.run(multiple * RATE_TOKENS_PER_SECOND, 5_000);
            fleet.thaw();
            callers.run(multiple * RATE_TOKENS_PER_SECOND, 5_000);
            assertWithinBound();
        }

        /** Rounding must not hold an account below its rate. */
        @Test
        void anOverloadReachesTheWholeRate() {
            AccountCallers callers = settledCallers(1);
            callers.run(1.4 * RATE_TOKENS_PER_SECOND, 14_000);
            assertTrue(fleet.maximumInWindow() >= RATE_TOKENS_PER_SECOND * 8, fleet.maximumInWindow() + " in a window");
        }
    }

    @Nested
    class BelowTheLimit {
        private static final double MAXIMUM_REFUSED_FRACTION = 0.1;

        private static void assertRarelyRefused(AccountCallers callers) {
            double refused = callers.refusedFraction();
            assertTrue(refused <= MAXIMUM_REFUSED_FRACTION, refused + " of the requests were refused");
        }

        @ParameterizedTest
        @ValueSource(doubles = {0.3, 0.5, 0.8})
        void manyDaemonsRarelyRefuse(double share) {
            AccountCallers callers = settledCallers(1);
            callers.run(share * RATE_TOKENS_PER_SECOND, 10_000);
            assertRarelyRefused(callers);
        }

        /** A prompt may be larger than the burst. */
        @ParameterizedTest
        @ValueSource(doubles = {0.3, 0.5, 0.8})
        void fewDaemonsRefuseAlmostNothing(double share) {
            AllowanceFleet few = new AllowanceFleet(7);
            AccountCallers callers = AccountCallers.create(few, 7, 1);
            callers.run(share * AllowanceFleet.RATE_TOKENS_PER_SECOND, 60_000);
            assertTrue(callers.refusedFraction() <= 0.01, callers.refusedFraction() + " of the requests were refused");
        }

        @Test
        void manyDaemonsRarelyRefuseWhileTheLeaderChanges() {
            AccountCallers callers = settledCallers(1);
            fleet.freezeLeader();
            callers.run(0.5 * RATE_TOKENS_PER_SECOND, 1_300);
            fleet.changeLeader();
            callers.run(0.5 * RATE_TOKENS_PER_SECOND, 1_300);
            assertRarelyRefused(callers);
        }
    }
}
