package org.plantainwharf.forward;

import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.forward.EngineFleet.Sharing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against engines that are given more than they can answer in time, and against kinds, sizes and accounts that are
 * starved while room is short. Load is that of a site with three kinds and 16 accounts; the same seeds are played without
 * sharing, with daemons that share by themselves, and with a leader.
 */
class RoomFleetTest {
    private static final long[] SEEDS = {1, 2, 3};
    private static final long SHORTAGE_MILLIS = 15_000;

    private static double average(
            Sharing sharing, long millis, Consumer<RoomFleet> load, ToDoubleFunction<RoomFleet> figure) {
        return LongStream.of(SEEDS)
                .mapToDouble(seed -> {
                    RoomFleet site = RoomFleet.usual(sharing, seed);
                    load.accept(site);
                    site.fleet().advance(millis);
                    return figure.applyAsDouble(site);
                })
                .average()
                .orElseThrow();
    }

    private static void assertNotLess(
            Sharing sharing, Consumer<RoomFleet> load, ToDoubleFunction<RoomFleet> figure, double allowance) {
        double before = average(Sharing.NONE, SHORTAGE_MILLIS, load, figure);
        double after = average(sharing, SHORTAGE_MILLIS, load, figure);
        assertTrue(after >= before - allowance, after + " is less than " + before + " without sharing");
    }

    /** Checks the floors of kinds, sizes and accounts, and the order of kinds. */
    private static void assertNobodyStarved(RoomFleet site) {
        double previous = 1.05;
        for (String kind : RoomFleet.KINDS) {
            double served = site.served(kind);
            assertTrue(
                    served <= previous + 0.05, kind + " is served better than a more urgent one: " + site.describe());
            assertTrue(served >= site.served("question") / 4, kind + " is starved: " + site.describe());
            assertTrue(site.servedLarge(kind) >= served / 2, "large ones are starved: " + site.describe());
            previous = served;
        }
        assertTrue(site.leastServedAccount() >= 0.25, "an account is starved: " + site.describe());
    }

    /** Three large accounts ask for six times their usual, and a zone's engines are lost. */
    @Nested
    class LargeAccountsInABurst {
        @ParameterizedTest
        @EnumSource(
                value = Sharing.class,
                names = {"OWN", "ALL"})
        void earnMoreThanWithoutSharing(Sharing sharing) {
            double before = average(Sharing.NONE, SHORTAGE_MILLIS, RoomFleet::peak, site -> site.fleet()
                    .worthShare());
            double after = average(sharing, SHORTAGE_MILLIS, RoomFleet::peak, site -> site.fleet()
                    .worthShare());
            assertTrue(after > before, after + " is not more than " + before + " without sharing");
        }

        @ParameterizedTest
        @EnumSource(
                value = Sharing.class,
                names = {"OWN", "ALL"})
        void starveNobody(Sharing sharing) {
            for (long seed : SEEDS) {
                RoomFleet site = RoomFleet.usual(sharing, seed);
                site.peak();
                site.fleet().advance(SHORTAGE_MILLIS);
                assertNobodyStarved(site);
            }
        }

        @Test
        void doNotTakeTheRoomOfSmallAccounts() {
            assertNotLess(Sharing.ALL, RoomFleet::peak, site -> site.worthOfAccounts(3, RoomFleet.ACCOUNTS), 0);
        }

        /** What is let in must not end late as often as before. */
        @Test
        @Tag("known-red")
        void makeFewerAnswersLate() {
            ToDoubleFunction<RoomFleet> late = site -> site.outcomes().values().stream()
                    .mapToDouble(of -> of.late + of.failed)
                    .sum();
            double before = average(Sharing.NONE, SHORTAGE_MILLIS, RoomFleet::peak, late);
            double after = average(Sharing.ALL, SHORTAGE_MILLIS, RoomFleet::peak, late);
            assertTrue(after < 0.75 * before, after + " late or failed instead of " + before);
        }
    }

    /** The kind with long prompts comes at five times its usual rate. */
    @Nested
    class BurstOfTheLongKind {
        @Test
        void leavesTheUrgentKindAlone() {
            double worth = average(
                    Sharing.ALL,
                    SHORTAGE_MILLIS,
                    site -> site.fleet().setKindLoad("review", 5),
                    site -> site.worth("question"));
            assertTrue(worth > 0.95, "worth " + worth);
        }

        @Test
        void starvesNobody() {
            RoomFleet site = RoomFleet.usual(Sharing.ALL, SEEDS[0]);
            site.fleet().setKindLoad("review", 5);
            site.fleet().advance(SHORTAGE_MILLIS);
            assertNobodyStarved(site);
        }
    }

    @Nested
    class SufficientRoom {
        @Test
        void isRefusedToNobody() {
            RoomFleet site = RoomFleet.usual(Sharing.ALL, SEEDS[0]);
            site.fleet().advance(10_000);
            assertEquals(
                    0,
                    site.outcomes().values().stream().mapToInt(of -> of.refused).sum(),
                    site.describe());
        }

        /** Daemons that start empty know no speeds yet; they must not refuse for that. */
        @Test
        void isRefusedToNobodyAfterAStart() {
            RoomFleet site = RoomFleet.empty(Sharing.ALL, SEEDS[0]);
            site.fleet().advance(10_000);
            int refused =
                    site.outcomes().values().stream().mapToInt(of -> of.refused).sum();
            int asked =
                    site.outcomes().values().stream().mapToInt(of -> of.asked).sum();
            assertTrue(refused < 0.01 * asked, site.describe());
        }

        /** A zone of servers lost at usual load leaves room for nearly all. */
        @Test
        void remainsAfterTheLossOfAZone() {
            assertNotLess(Sharing.ALL, RoomFleet::loseZone, site -> site.fleet().worthShare(), 0.01);
        }

        /** Shortage must not outlast its cause. */
        @Test
        void returnsAfterAPeak() {
            RoomFleet site = RoomFleet.usual(Sharing.ALL, SEEDS[0]);
            site.fleet().setAccountLoad(0, 8);
            site.fleet().advance(10_000);
            site.fleet().setAccountLoad(0, 1);
            site.fleet().advance(5_000);
            site.fleet().resetOutcomes();
            site.fleet().advance(10_000);
            assertTrue(site.worth("question") > 0.97, site.describe());
            assertTrue(
                    site.outcomes().values().stream().mapToInt(of -> of.refused).sum() < 20, site.describe());
        }
    }

    @Nested
    class Callers {
        /** Repeats must not displace those who wait until they are told to return. */
        @Test
        void thatRepeatAtOnceStarveNobody() {
            RoomFleet site = RoomFleet.usual(Sharing.ALL, SEEDS[0]);
            site.fleet().setReturnsAtOnce();
            site.peak();
            site.fleet().advance(SHORTAGE_MILLIS);
            assertNobodyStarved(site);
            assertTrue(site.worth("question") > 0.9, site.describe());
        }

        /** Places and shares of callers that have left must not keep room from the others. */
        @Test
        void thatLeaveEarlyStarveNobody() {
            RoomFleet site = RoomFleet.usual(Sharing.ALL, SEEDS[0]);
            site.fleet().setLeavesEarly();
            site.peak();
            site.fleet().advance(SHORTAGE_MILLIS);
            assertTrue(site.worth("question") > 0.9, site.describe());
            assertTrue(site.leastServedAccount() >= 0.25, site.describe());
        }

        /** Requests that share one part go to few engines first, whose queues say nothing of the others. */
        @Test
        void thatShareOneHotPartAreNotRefusedBesideFreeEngines() {
            RoomFleet site = RoomFleet.withHotPart(Sharing.ALL, SEEDS[0]);
            site.fleet().advance(10_000);
            int refused =
                    site.outcomes().values().stream().mapToInt(of -> of.refused).sum();
            int asked =
                    site.outcomes().values().stream().mapToInt(of -> of.asked).sum();
            assertTrue(refused < 0.01 * asked, site.describe());
        }

        /** All callers of the site go to the daemons of one zone. */
        @Test
        void thatMoveToAnotherZoneAreServed() {
            assertNotLess(
                    Sharing.ALL,
                    site -> {
                        site.peak();
                        site.fleet().setEntryDaemons(0, 7);
                    },
                    site -> site.fleet().worthShare(),
                    0.02);
        }
    }

    @Nested
    class Leaders {
        /** Without grants each daemon goes on by its own estimates. */
        @Test
        void thatAreLostCostNoMoreThanSharing() {
            assertNotLess(
                    Sharing.ALL,
                    site -> {
                        site.fleet().setLeaderLost(true);
                        site.peak();
                    },
                    site -> site.fleet().worthShare(),
                    0.01);
        }

        @Test
        void thatAreLostInAShortageStarveNobody() {
            RoomFleet site = RoomFleet.usual(Sharing.ALL, SEEDS[0]);
            site.peak();
            site.fleet().advance(4_000);
            site.fleet().setLeaderLost(true);
            site.fleet().advance(6_000);
            site.fleet().setLeaderLost(false);
            site.fleet().advance(5_000);
            assertNobodyStarved(site);
        }
    }

    /** A burst on servers without prompts, half of whose calls may run once only; slots take them in the order of arrival. */
    @Nested
    class PlainServers {
        private PlainFleet play(boolean sharing, double perSecond, long seed) {
            PlainFleet fleet = new PlainFleet(sharing, seed);
            fleet.advance(5_000);
            fleet.resetOutcomes();
            fleet.setPerSecond(perSecond);
            fleet.advance(10_000);
            return fleet;
        }

        private double inTarget(PlainFleet fleet) {
            return fleet.of(PlainFleet.LOOKUP).inTargetFraction()
                    + fleet.of(PlainFleet.ORDER).inTargetFraction();
        }

        /** Requests for 1.2, 1.7 and 2.9 times what the slots can do. */
        @ParameterizedTest
        @ValueSource(doubles = {600, 900, 1_500})
        void answerMoreInTime(double perSecond) {
            for (long seed : SEEDS) {
                PlainFleet before = play(false, perSecond, seed);
                PlainFleet after = play(true, perSecond, seed);
                assertTrue(inTarget(after) > inTarget(before), after.outcomes() + " instead of " + before.outcomes());
            }
        }

        @ParameterizedTest
        @ValueSource(doubles = {600, 900, 1_500})
        void serveUrgentCallsNotLessOftenThanOthers(double perSecond) {
            for (long seed : SEEDS) {
                PlainFleet fleet = play(true, perSecond, seed);
                PlainFleet.Outcomes urgent = fleet.of(PlainFleet.LOOKUP);
                PlainFleet.Outcomes other = fleet.of(PlainFleet.ORDER);
                assertTrue(
                        urgent.servedFraction() >= other.servedFraction() - 0.05,
                        fleet.outcomes().toString());
                assertTrue(
                        other.servedFraction() >= urgent.servedFraction() / 4,
                        fleet.outcomes().toString());
            }
        }

        @Test
        void withFreeSlotsRefuseNobody() {
            PlainFleet fleet = play(true, 400, SEEDS[0]);
            assertEquals(0, fleet.of(PlainFleet.LOOKUP).refused + fleet.of(PlainFleet.ORDER).refused);
        }
    }

    /** An operator must see why a request was refused. */
    @Nested
    class LogLines {
        @Test
        void nameTheFiguresOfARefusal() {
            RoomFleet site = RoomFleet.usual(Sharing.ALL, SEEDS[0]);
            site.peak();
            site.fleet().advance(5_000);
            assertTrue(site.fleet().roomLog().stream()
                    .filter(line -> line.event().equals("room_refused"))
                    .anyMatch(line -> line.fields().contains("pressure")
                            && line.fields().contains("fraction")
                            && line.fields().contains("wait_ms")
                            && line.fields().contains("return_ms")));
            assertTrue(site.fleet().roomLog().stream()
                    .anyMatch(line -> line.event().equals("room_short")));
        }
    }
}
