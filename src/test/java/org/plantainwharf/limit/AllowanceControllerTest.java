package org.plantainwharf.limit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against accounts that pass their limit over all daemons, and against refusals below it. */
class AllowanceControllerTest {
    private static final int ENTRIES = 7;

    private static AllowanceFleet settledFleet() {
        AllowanceFleet fleet = new AllowanceFleet(ENTRIES);
        fleet.pass(3_000);
        return fleet;
    }

    /** Asks for more than the limit at every daemon for a while. */
    private static void flood(AllowanceFleet fleet, long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            for (int entry = 0; entry < ENTRIES; entry++) {
                fleet.ask(entry, 800);
                fleet.ask(entry, 800);
            }
            if (passed % 1_000 == 0) {
                fleet.ask((int) (passed / 1_000 % ENTRIES), 30_000);
            }
            fleet.pass(50);
        }
    }

    private static void assertWithinBound(AllowanceFleet fleet) {
        double most = fleet.mostInWindow();
        assertTrue(most <= AllowanceFleet.bound(), most + " tokens in a window of at most " + AllowanceFleet.bound());
    }

    @Nested
    class BelowTheLimit {
        /** One daemon's share of the rate would need 8 s to pay for this prompt, and refuse the account that long. */
        @Test
        void aLongPromptDoesNotShutItsAccountOutAtOneDaemon() {
            AllowanceFleet fleet = settledFleet();
            assertTrue(fleet.ask(0, 50_000));
            fleet.pass(1_000);
            for (int second = 0; second < 10; second++) {
                assertTrue(fleet.ask(0, 2_000), "second " + second);
                fleet.pass(1_000);
            }
        }

        /** Requests of an account may reach one daemon alone. */
        @Test
        void oneDaemonMayUseTheWholeLimitAfterAWhile() {
            AllowanceFleet fleet = settledFleet();
            int refused = 0;
            for (int step = 0; step < 200; step++) {
                if (!fleet.ask(2, 1_600)) {
                    refused++;
                }
                fleet.pass(50);
            }
            assertTrue(refused <= 20, refused + " of 200 requests were refused at four fifths of the limit");
        }

        /** A request that has not run counts for nothing. */
        @Test
        void whatHasNotRunIsGivenBack() {
            AllowanceFleet fleet = settledFleet();
            for (int step = 0; step < 100; step++) {
                assertTrue(fleet.askRefused(1, 30_000), "request " + step);
                fleet.pass(50);
            }
        }

        /** The next leader must not start from a debt that was paid long ago. */
        @Test
        void aChangeOfTheLeaderRefusesNothing() {
            AllowanceFleet fleet = settledFleet();
            for (int second = 0; second < 12; second++) {
                if (second % 3 == 2) {
                    fleet.changeLeader();
                }
                for (int entry = 0; entry < ENTRIES; entry++) {
                    assertTrue(fleet.ask(entry, 3_000), "second " + second + ", entry " + entry);
                }
                fleet.pass(1_000);
            }
        }
    }

    @Nested
    class AtTheLimit {
        @Test
        void aFloodAtEveryDaemonStaysWithinTheBound() {
            AllowanceFleet fleet = settledFleet();
            flood(fleet, 20_000);
            assertWithinBound(fleet);
        }

        @Test
        void aFloodGetsTheWholeLimit() {
            AllowanceFleet fleet = settledFleet();
            flood(fleet, 20_000);
            double most = fleet.mostInWindow();
            assertTrue(
                    most >= AllowanceFleet.RATE * AllowanceFleet.WINDOW_MILLIS / 1_000, most + " tokens in a window");
        }

        /** A daemon without grants must not spend what the leader gives to the others. */
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3})
        void daemonsThatAreCutOffStayWithinTheBound(int count) {
            AllowanceFleet fleet = settledFleet();
            flood(fleet, 5_000);
            for (int entry = 0; entry < count; entry++) {
                fleet.cutOff(entry);
            }
            flood(fleet, 20_000);
            assertWithinBound(fleet);
        }

        /** A new process has a first part of its own, and its predecessor's use must stay counted. */
        @Test
        void restartsInTurnStayWithinTheBound() {
            AllowanceFleet fleet = settledFleet();
            flood(fleet, 5_000);
            for (int entry = 0; entry < ENTRIES; entry++) {
                fleet.restart(entry);
                flood(fleet, 1_500);
            }
            flood(fleet, 5_000);
            assertWithinBound(fleet);
        }

        @Test
        void changesOfTheLeaderStayWithinTheBound() {
            AllowanceFleet fleet = settledFleet();
            for (int change = 0; change < 6; change++) {
                flood(fleet, 2_500);
                fleet.changeLeader();
            }
            assertWithinBound(fleet);
        }
    }
}
