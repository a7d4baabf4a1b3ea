package org.plantainwharf.room;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.room.RoomDecision.Basis;
import org.plantainwharf.room.RoomDecision.Reason;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against refusals beside free places, places that are not kept, and callers that gain by what they state. */
class ServiceRoomTest {
    private static final AccountName ACCOUNT = AccountName.of("acme");
    private static final long TARGET_MILLIS = 500;
    private static final long DEADLINE_MILLIS = 4_000;
    private static final RoomRequest.Place BUSY = new RoomRequest.Place(50, 200, 50, false, false);

    private final ServiceRoom room = new ServiceRoom();
    private final Random random = new Random(1);
    private long nowNanos = 1_000_000_000L;
    private int requests;
    private RoomDecision.Refused lastRefused = new RoomDecision.Refused(Reason.SHARE_USED, OptionalLong.empty());

    private RoomRequest request(String content, boolean mayRepeat, long remainingMillis, RoomRequest.Place place) {
        return new RoomRequest(
                ACCOUNT,
                RouteName.of("r"),
                Fingerprint.of(content),
                0,
                mayRepeat,
                TARGET_MILLIS,
                remainingMillis,
                place);
    }

    private RoomDecision decide(RoomRequest request) {
        return room.decide(request, 1_000, random, nowNanos);
    }

    private RoomDecision decideNew(RoomRequest.Place place) {
        return decide(request("new-" + requests++, true, DEADLINE_MILLIS, place));
    }

    private void advance(long millis) {
        nowNanos += millis * 1_000_000;
    }

    private void grant(double fraction) {
        room.applyGrant(
                new RoomShare(2, Map.of(0, new RoomShare.PriorityShare(fraction, fraction, Map.of()))),
                nowNanos + 2_000_000_000L);
    }

    /** Lets some requests ask, so that the rate of places is known. */
    private void askForASecond() {
        for (int period = 0; period < 8; period++) {
            for (int request = 0; request < 5; request++) {
                decideNew(BUSY);
            }
            advance(250);
            room.endPeriod(0.25, 1_000, 1, nowNanos);
        }
        grant(0.6);
    }

    /** Sends new requests until one is refused, and returns it; the share lets a few in. */
    private RoomRequest refusedRequest() {
        while (true) {
            RoomRequest request = request("asks-" + requests++, true, DEADLINE_MILLIS, BUSY);
            if (decide(request) instanceof RoomDecision.Refused refused) {
                lastRefused = refused;
                return request;
            }
        }
    }

    private RoomDecision.Refused refuse(RoomRequest request) {
        return assertInstanceOf(RoomDecision.Refused.class, decide(request));
    }

    @Nested
    class Order {
        @Test
        void aFreePlaceIsUsedWhateverTheShare() {
            grant(0);
            for (int request = 0; request < 50; request++) {
                assertEquals(
                        new RoomDecision.Admitted(Basis.FREE_PLACE),
                        decideNew(new RoomRequest.Place(50, 0, 50, true, false)));
            }
        }

        @Test
        void theShareIsHeldForAnySize() {
            grant(0.5);
            int small = 0;
            int large = 0;
            for (int request = 0; request < 400; request++) {
                boolean isLarge = request % 10 == 7;
                RoomRequest.Place place = isLarge ? new RoomRequest.Place(900, 200, 900, false, false) : BUSY;
                if (decideNew(place) instanceof RoomDecision.Admitted) {
                    large += isLarge ? 1 : 0;
                    small += isLarge ? 0 : 1;
                }
            }
            assertEquals(200, small + large, 10);
            assertTrue(large / 40.0 >= 0.5 * small / 360.0, large + " of 40 large ones, " + small + " of 360 others");
        }

        @Test
        void whatCannotEndBeforeItsDeadlineIsRefusedAtOnce() {
            grant(1);
            RoomDecision.Refused refused =
                    refuse(request("a", true, 200, new RoomRequest.Place(50, 180, 50, false, false)));
            assertEquals(Reason.DEADLINE, refused.reason());
        }

        @Test
        void whatMayNotRepeatIsRefusedAfterWhatMay() {
            grant(0);
            refusedRequest();
            assertEquals(
                    new RoomDecision.Admitted(Basis.NOT_REPEATABLE),
                    decide(request("order", false, DEADLINE_MILLIS, BUSY)));
        }
    }

    @Nested
    class Places {
        @Test
        void areGivenInOrderAndKept() {
            askForASecond();
            RoomRequest firstRequest = refusedRequest();
            RoomDecision.Refused first = lastRefused;
            refusedRequest();
            RoomDecision.Refused second = lastRefused;
            assertTrue(first.returnMillis().getAsLong() < second.returnMillis().getAsLong(), first + " " + second);
            advance(first.returnMillis().getAsLong());
            assertEquals(new RoomDecision.Admitted(Basis.KEPT_PLACE), decide(firstRequest));
        }

        /** Clients that repeat at once must not take the places of those that wait, nor add to the demand. */
        @Test
        void areNotTakenEarly() {
            askForASecond();
            refusedRequest();
            RoomRequest first = refusedRequest();
            long untilPlace = lastRefused.returnMillis().getAsLong();
            assertTrue(untilPlace > 20, lastRefused.toString());
            for (int repeat = 0; repeat < 5; repeat++) {
                RoomDecision.Refused again = refuse(first);
                assertEquals(untilPlace, again.returnMillis().getAsLong(), 1);
            }
        }

        @Test
        void thatComeTooLateForTheTargetAreNotGiven() {
            askForASecond();
            RoomDecision.Refused refused =
                    refuse(request("late", true, DEADLINE_MILLIS, new RoomRequest.Place(50, 3_000, 50, false, false)));
            assertEquals(Reason.TOO_LATE, refused.reason());
            assertTrue(refused.returnMillis().isEmpty(), refused.toString());
        }

        /** A caller returns to another daemon, which knows it by its shorter deadline only. */
        @Test
        void areHonouredForAnotherCallerOfTheAccountThatReturns() {
            askForASecond();
            refusedRequest();
            advance(lastRefused.returnMillis().getAsLong());
            assertEquals(
                    new RoomDecision.Admitted(Basis.KEPT_PLACE),
                    decide(request("elsewhere", true, DEADLINE_MILLIS - 100, BUSY)));
        }

        /** Without a place of its account, a shorter deadline gains nothing. */
        @Test
        void areNotGainedByAShorterDeadline() {
            askForASecond();
            room.applyGrant(
                    new RoomShare(2, Map.of(0, new RoomShare.PriorityShare(0, 0, Map.of()))),
                    nowNanos + 3_000_000_000L);
            for (int request = 0; request < 30; request++) {
                decideNew(BUSY);
            }
            room.expirePlaces(nowNanos + 5_000_000_000L);
            for (int request = 0; request < 10; request++) {
                assertFalse(
                        decide(request("forged-" + request, true, DEADLINE_MILLIS - 100, BUSY))
                                instanceof RoomDecision.Admitted);
            }
        }

        /** Callers that leave without returning must not hold places for ever. */
        @Test
        void ofCallersThatDoNotReturnExpire() {
            askForASecond();
            refusedRequest();
            assertTrue(room.keptPlaces() > 0);
            room.expirePlaces(nowNanos + 5_000_000_000L);
            assertEquals(0, room.keptPlaces());
        }
    }

    /** Callers of one route may give up at different times; that alone does not show that they have asked before. */
    @Nested
    class Deadlines {
        private double asked() {
            return new RoomDemand(room.demands(8)).askedPerSecond();
        }

        private RoomDecision decideShorter(RoomRequest.Place place) {
            return decide(request("shorter-" + requests++, true, DEADLINE_MILLIS / 2, place));
        }

        @Test
        void thatAreShorterCostNoShare() {
            grant(0.5);
            decideNew(BUSY);
            int admitted = 0;
            for (int request = 0; request < 200; request++) {
                admitted += decideShorter(BUSY) instanceof RoomDecision.Admitted ? 1 : 0;
            }
            assertEquals(100, admitted, 10);
        }

        @Test
        void thatAreShorterCountAsDemand() {
            grant(1);
            decideNew(BUSY);
            for (int request = 0; request < 9; request++) {
                decideShorter(BUSY);
            }
            room.endPeriod(1, 1_000, 1, nowNanos);
            // A quarter of the period's demand enters the average.
            assertEquals(0.25 * 10 * 50, asked(), 1);
        }

        @Test
        void thatAreShorterLeaveTheLongestWaitWithoutReturns() {
            grant(1);
            decideNew(BUSY);
            assertInstanceOf(
                    RoomDecision.Admitted.class,
                    decideShorter(new RoomRequest.Place(50, 0.8 * TARGET_MILLIS, 50, false, false)));
        }

        /** Another caller may send the same content; its deadline shows that it has not waited since the refusal. */
        @Test
        void thatAreTooLongForARepetitionAreThoseOfNewCallers() {
            grant(0);
            RoomRequest first = refusedRequest();
            room.expirePlaces(nowNanos + 5_000_000_000L);
            room.endPeriod(1, 1_000, 1, nowNanos);
            double before = asked();
            advance(1_000);
            decide(first);
            room.endPeriod(1, 1_000, 1, nowNanos);
            assertEquals(0.75 * before + 0.25 * 50, asked(), 1);
        }
    }

    @Nested
    class Grants {
        @Test
        void endWithTheirValidity() {
            grant(0.1);
            assertTrue(room.isGranted(nowNanos));
            advance(2_500);
            assertFalse(room.isGranted(nowNanos));
        }

        /** A grant that arrives late must not replace one that was valid for longer. */
        @Test
        void thatArriveOutOfOrderAreNotUsed() {
            grant(0.1);
            room.applyGrant(
                    new RoomShare(2, Map.of(0, new RoomShare.PriorityShare(0.9, 0.9, Map.of()))),
                    nowNanos + 1_000_000_000L);
            assertEquals(0.1, room.share(nowNanos).admittedFraction(0, ACCOUNT));
        }
    }
}
