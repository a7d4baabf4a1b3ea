package org.plantainwharf.server;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServerLease;
import org.plantainwharf.settings.Settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against work for a server that is leaving, silent or without a valid lease, and against servers that get no
 * work although they are available, after announcements, relayed leases, reclaim notices and probes.
 */
class ServerControllerTest {
    private static final long MILLI = 1_000_000;
    private static final ServerId SERVER = ServerId.of("server-1");
    private static final HostId SELF = HostId.of("host-1");
    private static final HostId PEER = HostId.of("host-2");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-1");
    private static final CallKind SERVICE = new CallKind.Service(RouteName.of("stock"));

    private final SimulatedHost host = new SimulatedHost(
            SELF,
            List.of(
                    new Settings.HostEntry(SELF, ZONE, "127.0.0.1:1", false),
                    new Settings.HostEntry(PEER, ZONE, "127.0.0.1:1", false)),
            LeaseStart.fromToken(),
            0,
            7);
    private long nowMillis = 10_000;

    private List<Effect> handle(Event event) {
        return host.handle(event, nowMillis * MILLI);
    }

    private List<Effect> tickAt(long millis) {
        nowMillis = millis;
        return handle(new TimerEvent.Tick());
    }

    private static Announcement announcement(long incarnation, long sequence, boolean leaving) {
        return new Announcement(
                SERVER,
                incarnation,
                sequence,
                "127.0.0.1:80",
                ZONE,
                HostClass.of("large"),
                new ServerKind.PlainService(Set.of(RouteName.of("stock"))),
                4,
                LoadReport.idle(),
                leaving);
    }

    /** Delivers an announcement with a returned token, and returns the token of the answer. */
    private long announce(Announcement announcement, long token) {
        return handle(new ServerEvent.ServerAnnounced(announcement, token, 1)).stream()
                .filter(ServerEffect.AnswerAnnouncement.class::isInstance)
                .mapToLong(effect -> ((ServerEffect.AnswerAnnouncement) effect).token())
                .findFirst()
                .orElseThrow();
    }

    private boolean accepts() {
        return host.acceptsNewWork(SERVER, nowMillis * MILLI);
    }

    private void grantLease() {
        announce(announcement(1, 2, false), announce(announcement(1, 1, false), 0));
        assertTrue(accepts());
    }

    private static <T extends Effect> List<T> ofType(Class<T> type, List<Effect> effects) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    @Nested
    class Tokens {
        @Test
        void firstAnnouncementGetsATokenAndNoLease() {
            assertTrue(announce(announcement(1, 1, false), 0) > 0);
            assertFalse(accepts());
        }

        @ParameterizedTest
        @CsvSource({
            // delay before the second announcement, delay after it, whether work may be sent
            "1000, 0, true",
            "1000, 1999, true",
            "1000, 2000, false",
            "2999, 0, true",
            "3000, 0, false",
        })
        void leaseRunsFromTheIssueOfTheToken(long before, long after, boolean accepted) {
            long token = announce(announcement(1, 1, false), 0);
            nowMillis += before;
            announce(announcement(1, 2, false), token);
            nowMillis += after;
            assertEquals(accepted, accepts());
        }

        @Test
        void tokenOfAnEarlierIncarnationGivesNoLease() {
            long token = announce(announcement(1, 1, false), 0);
            announce(announcement(2, 1, false), token);
            assertFalse(accepts());
        }

        @Test
        void tokenThatThisProcessDidNotIssueGivesNoLease() {
            long token = announce(announcement(1, 1, false), 0);
            announce(announcement(1, 2, false), token + 1);
            assertFalse(accepts());
        }
    }

    @Nested
    class Order {
        @ParameterizedTest
        @CsvSource({
            // incarnation, sequence and leaving of an announcement after (1, 2), whether work may be sent
            "1, 2, false, true",
            "1, 1, false, true",
            "1, 3, false, true",
            "0, 9, true, true",
            "1, 3, true, false",
            "1, 1, true, false",
            "2, 1, false, false",
            "2, 1, true, false",
        })
        void newerStatementsWin(long incarnation, long sequence, boolean leaving, boolean accepted) {
            grantLease();
            announce(announcement(incarnation, sequence, leaving), 0);
            assertEquals(accepted, accepts());
        }

        @Test
        void leavingIsNotUndoneWithinOneIncarnation() {
            grantLease();
            long token = announce(announcement(1, 3, true), 0);
            token = announce(announcement(1, 4, false), token);
            announce(announcement(1, 5, false), token);
            assertFalse(accepts());
            token = announce(announcement(2, 1, false), 0);
            announce(announcement(2, 2, false), token);
            assertTrue(accepts(), "a newer incarnation is not leaving");
        }

        @Test
        void reclaimNoticeMeansLeaving() {
            grantLease();
            handle(new PlatformEvent.ServerReclaimNoticed(SERVER, 30_000));
            assertFalse(accepts());
            announce(announcement(1, 3, false), announce(announcement(1, 2, false), 0));
            assertFalse(accepts(), "the server may not know of the reclaim notice");
        }

        @Test
        void expiredServerIsRemovedAfterAMinute() {
            grantLease();
            tickAt(nowMillis + 63_000);
            assertTrue(host.board().servers().server(SERVER).isPresent());
            tickAt(nowMillis + 251);
            assertTrue(host.board().servers().server(SERVER).isEmpty());
        }
    }

    @Nested
    class Relays {
        private long token;

        private void connect() {
            handle(new PeerEvent.PeerConnected(PEER, ZONE, 5));
            token = ofType(PeerEffect.SendToPeer.class, tickAt(nowMillis)).stream()
                    .map(PeerEffect.SendToPeer::message)
                    .filter(PeerMessage.Heartbeat.class::isInstance)
                    .mapToLong(message -> ((PeerMessage.Heartbeat) message).token())
                    .findFirst()
                    .orElseThrow();
        }

        private void relay(long echoedToken, Announcement announcement, long remainingMillis) {
            handle(new PeerEvent.PeerMessageReceived(
                    PEER,
                    5,
                    new PeerMessage.ServerLeases(
                            echoedToken, List.of(new ServerLease(announcement, remainingMillis)))));
        }

        @ParameterizedTest
        @CsvSource({
            // delay of the message, remaining validity in it, delay after it, whether work may be sent
            "0, 2000, 1999, true",
            "0, 2000, 2000, false",
            "1500, 2000, 499, true",
            "1500, 2000, 500, false",
            "2000, 2000, 0, false",
            "0, 0, 0, false",
            "0, -5, 0, false",
            "0, 999999, 2999, true",
            "0, 999999, 3000, false",
        })
        void validityCountsFromTheEchoedHeartbeat(long delay, long remaining, long wait, boolean accepted) {
            connect();
            nowMillis += delay;
            relay(token, announcement(1, 1, false), remaining);
            nowMillis += wait;
            assertEquals(accepted, accepts());
        }

        @Test
        void relayWithoutAKnownTokenGivesNoLease() {
            connect();
            relay(token + 1, announcement(1, 1, false), 2_000);
            assertFalse(accepts());
        }

        @Test
        void relayedLeavingEndsTheLease() {
            connect();
            grantLease();
            relay(token, announcement(1, 1, true), 0);
            assertFalse(accepts(), "leaving applies to the incarnation, regardless of the sequence");
        }

        private List<ServerLease> relayedAt(long millis) {
            return ofType(PeerEffect.SendToPeer.class, tickAt(millis)).stream()
                    .map(PeerEffect.SendToPeer::message)
                    .filter(PeerMessage.ServerLeases.class::isInstance)
                    .flatMap(message -> ((PeerMessage.ServerLeases) message).leases().stream())
                    .toList();
        }

        private void receiveHeartbeat() {
            handle(new PeerEvent.PeerMessageReceived(PEER, 5, new PeerMessage.Heartbeat(77, 0, 0, false)));
        }

        @Test
        void changesAreRelayedOnceWithTheRemainingValidity() {
            connect();
            grantLease();
            long start = nowMillis;
            assertEquals(List.of(), relayedAt(start + 500), "without a token to echo the peer could not start a lease");
            receiveHeartbeat();
            assertEquals(List.of(new ServerLease(announcement(1, 2, false), 2_000)), relayedAt(start + 1_000));
            assertEquals(List.of(), relayedAt(start + 1_250));
        }

        @Test
        void leavingIsRepeatedUntilEveryLeaseHasEnded() {
            connect();
            grantLease();
            receiveHeartbeat();
            announce(announcement(1, 3, true), 0);
            long start = nowMillis;
            for (long wait = 250; wait < 3_000; wait += 250) {
                receiveHeartbeat();
                assertEquals(List.of(new ServerLease(announcement(1, 3, true), 0)), relayedAt(start + wait));
            }
            receiveHeartbeat();
            assertEquals(List.of(), relayedAt(start + 3_000));
        }

        @Test
        void reclaimIsRepeatedWhileTheServerAnnouncesItself() {
            connect();
            grantLease();
            receiveHeartbeat();
            handle(new PlatformEvent.ServerReclaimNoticed(SERVER, 30_000));
            assertEquals(List.of(new ServerLease(announcement(1, 2, true), 0)), relayedAt(nowMillis + 250));
            nowMillis += 10_000;
            receiveHeartbeat();
            announce(announcement(1, 9, false), 0);
            assertEquals(List.of(new ServerLease(announcement(1, 9, true), 0)), relayedAt(nowMillis + 250));
        }

        @Test
        void relayedLeasesAreNotRelayedAgain() {
            connect();
            receiveHeartbeat();
            relay(token, announcement(1, 1, false), 2_000);
            assertEquals(List.of(), relayedAt(nowMillis + 250));
        }
    }

    @Nested
    class SilentServers {
        private int calls;

        private List<Effect> failAttempt(AttemptProblem problem) {
            calls++;
            CallEntry entry = host.board()
                    .calls()
                    .add(new Call(
                            RequestId.of("request-" + calls),
                            AccountName.of("account"),
                            RankName.of("urgent"),
                            SERVICE,
                            Content.of("application/json", new byte[0]),
                            Fingerprint.of("00"),
                            new Origin.Caller(),
                            0,
                            Long.MAX_VALUE));
            var attempt = entry.nextAttempt();
            host.board().calls().advance(entry, new CallState.Running(attempt, SERVER, 0));
            return handle(new AttemptEvent.AttemptFailed(attempt, problem, 0));
        }

        @Test
        void silentConnectionLeadsToAProbe() {
            grantLease();
            List<Effect> effects = failAttempt(new AttemptProblem.ConnectionSilent());
            assertEquals(
                    List.of(new ServerEffect.ProbeServer(SERVER, "127.0.0.1:80", 1_000)),
                    ofType(ServerEffect.ProbeServer.class, effects));
            assertFalse(accepts());
            handle(new ServerEvent.ProbeFinished(SERVER, true));
            assertTrue(accepts());
        }

        @Test
        void probingStartsAtTheSecondFailedConnection() {
            grantLease();
            failAttempt(new AttemptProblem.ConnectFailed());
            assertTrue(accepts());
            failAttempt(new AttemptProblem.ConnectFailed());
            assertFalse(accepts());
        }

        @Test
        void otherProblemsAreNotConnectionFailures() {
            grantLease();
            failAttempt(new AttemptProblem.ServerError(500));
            failAttempt(new AttemptProblem.ConnectionLost());
            assertTrue(accepts());
        }

        @Test
        void refusalAsLeavingEndsTheLease() {
            grantLease();
            failAttempt(new AttemptProblem.RefusedBeforeRunning(true));
            assertFalse(accepts());
        }

        @Test
        void probesAreRepeatedWithBackoff() {
            grantLease();
            failAttempt(new AttemptProblem.ConnectionSilent());
            handle(new ServerEvent.ProbeFinished(SERVER, false));
            for (long longest : new long[] {500, 1_000, 2_000, 4_000, 8_000, 8_000}) {
                long wait = millisToNextProbe();
                assertTrue(wait >= longest / 2 && wait <= longest + 50, wait + " ms of at most " + longest);
                handle(new ServerEvent.ProbeFinished(SERVER, false));
            }
            assertFalse(accepts());
        }

        @Test
        void probeWhoseResultIsLostIsRepeated() {
            grantLease();
            failAttempt(new AttemptProblem.ConnectionSilent());
            assertEquals(2_000, millisToNextProbe());
        }

        private long millisToNextProbe() {
            long start = nowMillis;
            do {
                nowMillis += 50;
            } while (ofType(ServerEffect.ProbeServer.class, tickAt(nowMillis)).isEmpty());
            return nowMillis - start;
        }
    }
}
