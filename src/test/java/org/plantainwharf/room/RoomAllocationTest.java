package org.plantainwharf.room;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.room.RoomDemand.PriorityDemand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against priorities and accounts that are starved, and against room that is given twice or to nobody. */
class RoomAllocationTest {
    private static final AccountName SMALL = AccountName.of("small");
    private static final AccountName LARGE = AccountName.of("large");

    private static PriorityDemand demand(double asked, double capacity) {
        return new PriorityDemand(asked, capacity, Map.of());
    }

    private static double fraction(RoomShare share, int priority) {
        return share.admittedFraction(priority, AccountName.of("any"));
    }

    @Nested
    class Priorities {
        @Test
        void areAllAdmittedWhileRoomSuffices() {
            RoomShare share = RoomAllocation.divide(Map.of(0, demand(30, 100), 1, demand(60, 100)), 16);
            assertEquals(0.9, share.pressure(), 1e-9);
            assertEquals(1, fraction(share, 0));
            assertEquals(1, fraction(share, 1));
        }

        /** A burst of the long kind, at priority 1, asks for five times the room. */
        @Test
        void lessUrgentThanABurstKeepAQuarterOfItsFraction() {
            RoomShare share =
                    RoomAllocation.divide(Map.of(0, demand(20, 100), 1, demand(500, 100), 2, demand(40, 100)), 16);
            double used = 20 * fraction(share, 0) + 500 * fraction(share, 1) + 40 * fraction(share, 2);
            assertEquals(fraction(share, 0) / 4, fraction(share, 1), 1e-9);
            assertEquals(fraction(share, 0) / 4, fraction(share, 2), 1e-9);
            assertEquals(100, used, 1e-6, "the room is used and not exceeded");
        }

        @Test
        void neverGetMoreThanMoreUrgentOnes() {
            for (double burst : List.of(1.0, 10.0, 100.0, 1_000.0)) {
                for (int priority = 0; priority < 3; priority++) {
                    Map<Integer, PriorityDemand> demands =
                            new HashMap<>(Map.of(0, demand(20, 90), 1, demand(60, 100), 2, demand(40, 70)));
                    demands.put(priority, demand(burst, 80));
                    RoomShare share = RoomAllocation.divide(demands, 16);
                    assertTrue(
                            fraction(share, 0) >= fraction(share, 1) && fraction(share, 1) >= fraction(share, 2),
                            demands + " " + share);
                    assertTrue(fraction(share, 2) >= 0.25 * fraction(share, 0) - 1e-9, demands + " " + share);
                }
            }
        }

        @Test
        void withoutAnyServerGetNothing() {
            RoomShare share = RoomAllocation.divide(Map.of(0, demand(20, 0)), 16);
            assertEquals(0, fraction(share, 0));
            assertTrue(share.pressure() > 1);
        }
    }

    /** Three large accounts at six times their usual must not displace the small ones, nor get nothing themselves. */
    @Nested
    class Accounts {
        @Test
        void thatAskForLittleGetEverything() {
            RoomShare share =
                    RoomAllocation.divide(Map.of(0, new PriorityDemand(100, 50, Map.of(SMALL, 10.0, LARGE, 90.0))), 16);
            assertEquals(1, share.admittedFraction(0, SMALL));
            assertEquals(40.0 / 90, share.admittedFraction(0, LARGE), 0.01);
        }

        @Test
        void thatAskForMostKeepAQuarterOfTheFractionOfOthers() {
            RoomShare share = RoomAllocation.divide(
                    Map.of(0, new PriorityDemand(1_000, 100, Map.of(SMALL, 10.0, LARGE, 990.0))), 16);
            double large = share.admittedFraction(0, LARGE);
            double small = share.admittedFraction(0, SMALL);
            assertTrue(large >= 0.25 * small - 1e-9, share.toString());
            assertEquals(100, 990 * large + 10 * small, 1, "the room is used and not exceeded");
        }

        @Test
        void thatAreNotListedCountAsSmall() {
            RoomShare share = RoomAllocation.divide(Map.of(0, new PriorityDemand(100, 50, Map.of(LARGE, 80.0))), 16);
            assertEquals(1, share.admittedFraction(0, SMALL));
            assertEquals(30.0 / 80, share.admittedFraction(0, LARGE), 0.01);
        }

        /** A grant for 1,000 accounts must stay small. */
        @Test
        void areListedInBoundedNumber() {
            Map<AccountName, Double> accounts = new HashMap<>();
            for (int account = 0; account < 1_000; account++) {
                accounts.put(AccountName.of("account-" + account), 1.0 + account % 7);
            }
            RoomShare share = RoomAllocation.divide(Map.of(0, new PriorityDemand(5_000, 1_000, accounts)), 16);
            assertTrue(share.priorities().get(0) instanceof RoomShare.PriorityShare part
                    && part.accounts().size() <= 16);
        }
    }
}
