package org.plantainwharf.handover;

import java.util.List;
import java.util.function.Predicate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.handover.CutFleet.Link;
import org.plantainwharf.handover.CutFleet.Request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against callers who are refused or not answered because their entry daemon has lost its links to the servers, while
 * other entry daemons reach them.
 */
class HandoverFleetTest {
    /** Time within which a daemon must have noticed that it is cut off. */
    private static final long NOTICE_MILLIS = 3_000;

    /** Callers of a daemon that is cut off must be served at least this often, as a part of how often others are. */
    private static final double LEAST_RATIO = 2.0 / 3;

    private static double servedShare(CutFleet fleet, long fromMillis, Predicate<Request> condition) {
        List<Request> counted = fleet.requests().stream()
                .filter(request -> request.sentMillis >= fromMillis
                        && request.sentMillis <= fleet.nowMillis() - 1_000
                        && condition.test(request))
                .toList();
        assertTrue(counted.size() >= 20, "only " + counted.size() + " requests");
        return (double) counted.stream().filter(Request::served).count() / counted.size();
    }

    private static void assertServedLikeOthers(CutFleet fleet, long fromMillis, int cutDaemons) {
        double cut = servedShare(fleet, fromMillis, request -> request.daemon < cutDaemons);
        double others = servedShare(fleet, fromMillis, request -> request.daemon >= cutDaemons);
        assertTrue(cut >= LEAST_RATIO * others, cut + " of the callers are served, of others " + others);
        assertTrue(fleet.mostHops() <= 1, "a request was handed over " + fleet.mostHops() + " times");
        fleet.requests().stream()
                .filter(request -> request.repeatability == Repeatability.ONCE)
                .forEach(request -> assertTrue(request.runs <= 1, "ran " + request.runs + " times"));
    }

    @Nested
    class DaemonsCutOff {
        @ParameterizedTest
        @EnumSource(
                value = Link.class,
                names = {"SILENT", "REFUSING_NEW", "REFUSING"})
        void serveTheirCallersThroughOthers(Link link) {
            for (long seed = 1; seed <= 5; seed++) {
                CutFleet fleet = CutFleet.running(7, 4, seed);
                for (int daemon = 0; daemon < 4; daemon++) {
                    fleet.cut(daemon, link);
                }
                long fromMillis = fleet.nowMillis() + NOTICE_MILLIS;
                fleet.advance(12_000);
                assertServedLikeOthers(fleet, fromMillis, 4);
            }
        }

        @Test
        void helpEachOtherAfterTwoCutsInARow() {
            CutFleet fleet = CutFleet.running(4, 4, 1);
            fleet.cut(0, Link.SILENT);
            fleet.advance(6_000);
            fleet.cut(0, Link.SOUND);
            fleet.advance(4_000);
            fleet.cut(0, Link.REFUSING);
            long fromMillis = fleet.nowMillis() + NOTICE_MILLIS;
            fleet.advance(8_000);
            assertServedLikeOthers(fleet, fromMillis, 1);
        }

        @Test
        void fromOneServiceOnlyServeTheOtherThemselves() {
            CutFleet fleet = CutFleet.running(4, 4, 1);
            fleet.cut(0, CutFleet.DESK, Link.SILENT);
            long fromMillis = fleet.nowMillis() + NOTICE_MILLIS;
            fleet.advance(8_000);
            assertServedLikeOthers(fleet, fromMillis, 1);
            assertInstanceOf(Reach.CutOff.class, fleet.reach(0, CutFleet.DESK));
            assertInstanceOf(Reach.Open.class, fleet.reach(0, CutFleet.ARCHIVE));
        }

        /** A request that is handed over is seen by two daemons, and is to be reported once. */
        @Test
        void countTheUsageOfEachRequestOnce() {
            CutFleet fleet = CutFleet.running(4, 4, 1);
            fleet.cut(0, Link.REFUSING);
            fleet.advance(8_000);
            fleet.stopCallers();
            fleet.advance(5_000);
            long served = fleet.requests().stream().filter(Request::served).count();
            assertEquals(1, fleet.mostHops());
            assertEquals(served, fleet.countedUsage());
        }

        @Test
        void takeTheirTrafficBackOnceTheLinksAreSound() {
            CutFleet fleet = CutFleet.running(4, 4, 1);
            fleet.cut(0, Link.SILENT);
            fleet.advance(8_000);
            assertInstanceOf(Reach.CutOff.class, fleet.reach(0, CutFleet.DESK));
            fleet.cut(0, Link.SOUND);
            fleet.advance(1_000);
            assertInstanceOf(Reach.Returning.class, fleet.reach(0, CutFleet.DESK));
            fleet.advance(3_000);
            assertInstanceOf(Reach.Open.class, fleet.reach(0, CutFleet.DESK));
        }
    }

    @Nested
    class AllDaemonsCutOff {
        @Test
        void refuseAtOnceWithATimeToReturn() {
            CutFleet fleet = CutFleet.running(3, 4, 1);
            for (int daemon = 0; daemon < 3; daemon++) {
                fleet.cut(daemon, Link.SILENT);
            }
            long fromMillis = fleet.nowMillis() + NOTICE_MILLIS;
            fleet.advance(8_000);
            List<Request> late = fleet.requests().stream()
                    .filter(request -> request.sentMillis >= fromMillis)
                    .toList();
            assertTrue(late.size() >= 20);
            late.forEach(request -> assertEquals(
                    "servers_unreachable", request.failure.orElse("none"), "sent at " + request.sentMillis));
            assertTrue(fleet.mostHops() <= 1);
        }
    }

    /** A sound server may fall silent for about a second and go on. */
    @Nested
    class ServersThatFallSilentForASecond {
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 4})
        void loseNoRequestAndAreNotTakenForCutLinks(int silent) {
            CutFleet fleet = CutFleet.running(4, 4, 1);
            for (int server = 0; server < silent; server++) {
                fleet.silence("desk-" + server, 1_000);
            }
            for (int step = 0; step < 60; step++) {
                fleet.advance(50);
                assertInstanceOf(Reach.Open.class, fleet.reach(0, CutFleet.DESK));
            }
            fleet.stopCallers();
            fleet.advance(4_000);
            fleet.requests().forEach(request -> assertTrue(request.served(), "not served: " + request.sentMillis));
        }

        /** A server is chosen by the time of its last answers, and one that is not chosen gives none. */
        @Test
        @Tag("known-red")
        void getTheirShareAgainAtOnce() {
            CutFleet fleet = CutFleet.running(4, 4, 1);
            fleet.silence("desk-0", 1_000);
            fleet.advance(2_000);
            for (int server = 0; server < 4; server++) {
                fleet.takeArrivals("desk-" + server);
            }
            fleet.advance(2_000);
            int share = fleet.takeArrivals("desk-0");
            int others = 0;
            for (int server = 1; server < 4; server++) {
                others += fleet.takeArrivals("desk-" + server);
            }
            assertTrue(share >= others / 3 / 2, share + " requests, " + others + " at the three others");
        }
    }

    /** Crashed servers are not to be taken for lost links, which would send requests on a detour in vain. */
    @Nested
    class CrashedServers {
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 3})
        void areNotTakenForCutLinks(int crashed) {
            CutFleet fleet = CutFleet.running(4, 4, 1);
            for (int server = 0; server < crashed; server++) {
                fleet.stopServer("desk-" + server);
            }
            for (int step = 0; step < 100; step++) {
                fleet.advance(50);
                for (int daemon = 0; daemon < 4; daemon++) {
                    assertInstanceOf(Reach.Open.class, fleet.reach(daemon, CutFleet.DESK));
                }
            }
        }

        @Test
        void ofAWholeServiceAreNotTakenForCutLinks() {
            CutFleet fleet = CutFleet.running(4, 4, 1);
            for (int server = 0; server < 4; server++) {
                fleet.stopServer("desk-" + server);
            }
            for (int step = 0; step < 100; step++) {
                fleet.advance(50);
                for (int daemon = 0; daemon < 4; daemon++) {
                    assertInstanceOf(Reach.Open.class, fleet.reach(daemon, CutFleet.DESK));
                }
            }
        }
    }
}
