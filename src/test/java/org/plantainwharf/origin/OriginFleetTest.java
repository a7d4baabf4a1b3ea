package org.plantainwharf.origin;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.identity.ServerVersion;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against streams that go on at a version other than the one that began them, after any loss of daemons. */
@Timeout(180)
class OriginFleetTest {
    private static final List<String> VERSIONS = List.of("1.9", "2.0-rc", "", "v".repeat(100));

    private static void requests(OriginFleet fleet, int seconds, Runnable eachSecond) {
        for (int second = 0; second < seconds; second++) {
            eachSecond.run();
            for (int request = 0; request < 10; request++) {
                fleet.request();
                fleet.advance(100);
            }
        }
    }

    private static void serve(OriginFleet fleet, String... versions) {
        for (String version : versions) {
            for (int zone = 0; zone < 3; zone++) {
                fleet.startServer(version, zone);
            }
        }
        fleet.advance(3_000);
    }

    private static void killAllEntries(OriginFleet fleet, long downMillis) {
        fleet.daemons(false).forEach(entry -> fleet.kill(entry, downMillis));
    }

    private static void assertKnown(OriginFleet fleet) {
        assertEquals(List.of(), fleet.wrong());
        assertTrue(fleet.lookupsInTouch() >= 12, "lookups " + fleet.lookupsInTouch());
        assertTrue(
                fleet.knownInTouch() >= 0.9 * fleet.lookupsInTouch(),
                fleet.knownInTouch() + " of " + fleet.lookupsInTouch() + " lookups are known");
    }

    /** Guards against origins that are lost with the daemons that served the streams. */
    @Nested
    class LossesOfEntryDaemons {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void keepTheOriginsOfTwoVersionsWhenAllAreLostAtOnce(long seed) {
            OriginFleet fleet = OriginFleet.create(seed, 5, 6);
            serve(fleet, "1.9", "2.0-rc");
            requests(fleet, 10, () -> {});
            killAllEntries(fleet, 1_000);
            requests(fleet, 15, () -> {});
            assertKnown(fleet);
        }

        @Test
        void keepTheOriginsOfTheOldVersionWhenOnlyTheNewOneIsLeft() {
            OriginFleet fleet = OriginFleet.create(5, 5, 6);
            serve(fleet, "1.9", "2.0-rc");
            requests(fleet, 5, () -> {});
            fleet.stopServers("1.9");
            killAllEntries(fleet, 1_000);
            requests(fleet, 15, () -> {});
            assertKnown(fleet);
        }

        /** Streams that began before there was a second version have no record at the control daemons until then. */
        @ParameterizedTest
        @ValueSource(longs = {6, 7, 8})
        void keepTheOriginsOfStreamsThatBeganAtTheOnlyVersion(long seed) {
            OriginFleet fleet = OriginFleet.create(seed, 5, 6);
            serve(fleet, "1.9");
            requests(fleet, 5, () -> {});
            fleet.startServer("2.0-rc", 0);
            requests(fleet, 2, () -> {});
            killAllEntries(fleet, 1_000);
            requests(fleet, 15, () -> {});
            assertKnown(fleet);
        }

        @ParameterizedTest
        @ValueSource(longs = {9, 10, 11})
        void keepTheOriginsWhenTheyAreLostOneByOne(long seed) {
            OriginFleet fleet = OriginFleet.create(seed, 5, 6);
            serve(fleet, "1.9", "2.0-rc", "");
            requests(
                    fleet,
                    30,
                    () -> fleet.kill(fleet.daemons(false).get(fleet.random().nextInt(6)), 500));
            assertKnown(fleet);
        }
    }

    /** Guards against guesses of daemons that know nothing. */
    @Nested
    class LossesOfAllDaemons {
        @Test
        void leaveTheOriginUnknownWithSeveralVersionsListed() {
            OriginFleet fleet = OriginFleet.create(12, 5, 6);
            serve(fleet, "1.9", "2.0-rc");
            requests(fleet, 5, () -> {});
            fleet.stopServers("1.9");
            fleet.daemons(true).forEach(control -> fleet.kill(control, 800));
            killAllEntries(fleet, 800);
            fleet.advance(20_000);
            assertEquals(List.of(), fleet.wrong());
            assertEquals(0, fleet.known());
            assertTrue(fleet.lookups() > 0);
        }

        @Test
        void leaveTheOriginKnownWithOneVersionListed() {
            OriginFleet fleet = OriginFleet.create(13, 5, 6);
            serve(fleet, "1.9");
            requests(fleet, 5, () -> {});
            fleet.daemons(true).forEach(control -> fleet.kill(control, 800));
            killAllEntries(fleet, 800);
            fleet.advance(20_000);
            assertEquals(List.of(), fleet.wrong());
            assertTrue(fleet.known() > 12, "known " + fleet.known() + " of " + fleet.lookups());
        }
    }

    /** Guards against a version that is retired while a stream of it may still be taken up. */
    @Nested
    class Versions {
        @Test
        void areListedUntilAnHourAfterTheirLastServer() {
            OriginFleet fleet = OriginFleet.create(14, 3, 1);
            serve(fleet, "1.9", "2.0-rc");
            fleet.stopServers("1.9");
            fleet.advance(3_600_000);
            assertEquals(2, fleet.listedVersions().size());
            fleet.advance(600_000);
            assertEquals(Set.of(ServerVersion.of("2.0-rc")), fleet.listedVersions());
        }

        @Test
        void areOpenAgainWhenTheirServersComeBack() {
            OriginFleet fleet = OriginFleet.create(15, 3, 1);
            serve(fleet, "1.9", "2.0-rc");
            fleet.stopServers("1.9");
            fleet.advance(300_000);
            assertEquals(false, isOpen(fleet, "1.9"));
            fleet.startServer("1.9", 0);
            fleet.advance(2_000);
            assertEquals(true, isOpen(fleet, "1.9"));
        }

        private boolean isOpen(OriginFleet fleet, String version) {
            return fleet.daemons(false)
                    .getFirst()
                    .board()
                    .configuration()
                    .state()
                    .mayBeginStreams(OriginDaemon.SERVICE, ServerVersion.of(version));
        }
    }

    /** Guards against a former leader that tells an older list than the one in force. */
    @Nested
    class FormerLeaders {
        /** The second version is listed without the former leader; take-ups come to entry daemons on both sides. */
        @ParameterizedTest
        @ValueSource(longs = {201, 202, 203, 204, 205, 206})
        void tellNothingWhileTheirZoneIsCutOff(long seed) {
            OriginFleet fleet = OriginFleet.create(seed, 5, 6);
            serve(fleet, "1.9");
            int zone = fleet.zoneOfLeader();
            fleet.cutZone(zone, 12_000);
            fleet.advance(300);
            fleet.startServer("2.0-rc", (zone + 1) % 3);
            for (int round = 0; round < 10; round++) {
                requests(fleet, 1, () -> {});
                fleet.killEntriesOutside(zone, 300);
            }
            fleet.advance(10_000);
            assertEquals(List.of(), fleet.wrong());
            assertTrue(fleet.known() > 0);
        }

        @ParameterizedTest
        @ValueSource(longs = {211, 212, 213, 214, 215, 216})
        void tellNothingAfterAPauseBeyondTheirLease(long seed) {
            OriginFleet fleet = OriginFleet.create(seed, 5, 6);
            serve(fleet, "1.9");
            for (int round = 0; round < 8; round++) {
                fleet.leader().ifPresent(leader -> fleet.pause(leader, 3_000));
                fleet.advance(1_500);
                fleet.startServer("version " + round, 0);
                requests(fleet, 1, () -> {});
                killAllEntries(fleet, 100);
                requests(fleet, 2, () -> {});
            }
            fleet.advance(10_000);
            assertEquals(List.of(), fleet.wrong());
            assertTrue(fleet.known() > 0);
        }
    }

    /** Guards against a wrong origin in any order of faults. */
    @Nested
    class RandomFaults {
        static LongStream seeds() {
            return LongStream.range(100, 140);
        }

        @ParameterizedTest
        @MethodSource("seeds")
        void neverTellAnotherVersion(long seed) {
            OriginFleet fleet = OriginFleet.create(seed, 5, 6);
            serve(fleet, VERSIONS.getFirst());
            Random random = fleet.random();
            fleet.setNetwork(random.nextInt(3) * 0.01, random.nextInt(3) * 0.05);
            requests(fleet, 60, () -> fault(fleet, random));
            fleet.advance(10_000);
            assertEquals(List.of(), fleet.wrong());
            assertTrue(fleet.lookups() > 0);
            assertTrue(fleet.known() > 0);
        }

        private void fault(OriginFleet fleet, Random random) {
            String version = VERSIONS.get(random.nextInt(VERSIONS.size()));
            int control = random.nextInt(5);
            switch (random.nextInt(14)) {
                case 0, 1 -> fleet.startServer(version, random.nextInt(3));
                case 2 -> fleet.stopServers(version);
                case 3, 4 -> fleet.kill(fleet.daemons(false).get(random.nextInt(6)), 300 + random.nextInt(2_000));
                case 5 -> killAllEntries(fleet, 300 + random.nextInt(1_000));
                case 6 -> fleet.kill(fleet.daemons(true).get(control), 300 + random.nextInt(2_000));
                case 7 -> {
                    if (random.nextInt(4) == 0) {
                        fleet.daemons(true).forEach(daemon -> fleet.kill(daemon, 300 + random.nextInt(1_000)));
                    }
                }
                case 8 -> fleet.cutZone(random.nextInt(3), 500 + random.nextInt(6_000));
                case 9 -> fleet.leader().ifPresent(leader -> fleet.pause(leader, 300 + random.nextInt(3_000)));
                default -> {}
            }
            if (fleet.listedVersions().isEmpty()) {
                fleet.startServer(version, random.nextInt(3));
            }
        }
    }
}
