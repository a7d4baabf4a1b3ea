package org.plantainwharf.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.board.Board;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.settings.Settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against silent links that stay open, live links that are closed after a pause of this process, and send times
 * of heartbeats that are too late, which would extend leases.
 */
class MembershipControllerTest {
    private static final long MILLI = 1_000_000;
    private static final HostId SELF = HostId.of("host-1");
    private static final HostId PEER = HostId.of("host-2");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-1");

    private final Board board = Board.create(
            new Settings(
                    SELF,
                    ZONE,
                    HostClass.of("small"),
                    "127.0.0.1:0",
                    "127.0.0.1:0",
                    "127.0.0.1:0",
                    Optional.empty(),
                    List.of(
                            new Settings.HostEntry(SELF, ZONE, "127.0.0.1:1", false),
                            new Settings.HostEntry(PEER, ZONE, "127.0.0.1:1", false)),
                    1,
                    Settings.Timings.defaults(),
                    Settings.Bounds.defaults()),
            1,
            1);
    private final ControlCycle cycle = ControlCycle.create(board, List.of(MembershipController.create()));
    private long nowMillis = -40_000;

    private List<Effect> handle(Event event) {
        return cycle.run(event, nowMillis * MILLI, 0);
    }

    /** Advances time in ticks of 50 ms and returns the effects on the links. */
    private List<PeerEffect> advanceTime(long millis) {
        List<PeerEffect> effects = new ArrayList<>();
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += 50) {
            handle(new TimerEvent.Tick()).stream()
                    .filter(PeerEffect.class::isInstance)
                    .map(PeerEffect.class::cast)
                    .forEach(effects::add);
        }
        return effects;
    }

    private static List<PeerMessage.Heartbeat> heartbeats(List<PeerEffect> effects) {
        return effects.stream()
                .filter(PeerEffect.SendToPeer.class::isInstance)
                .map(effect -> (PeerMessage.Heartbeat) ((PeerEffect.SendToPeer) effect).message())
                .toList();
    }

    private void receiveHeartbeat(long incarnation, long token, long version, boolean draining) {
        handle(new PeerEvent.PeerMessageReceived(
                PEER, incarnation, new PeerMessage.Heartbeat(token, 0, version, draining)));
    }

    private Member peer() {
        return board.membership().member(PEER).orElseThrow();
    }

    @BeforeEach
    void connect() {
        advanceTime(100);
        handle(new PeerEvent.PeerConnected(PEER, ZONE, 5));
    }

    @Nested
    class Heartbeats {
        @Test
        void areSentFourTimesASecondToLinkedDaemons() {
            assertEquals(4, heartbeats(advanceTime(1_000)).size());
            handle(new PeerEvent.PeerDisconnected(PEER, 5));
            assertEquals(0, advanceTime(1_000).size());
        }

        @Test
        void echoTheNewestTokenOfThePresentLink() {
            receiveHeartbeat(5, 70, 0, false);
            receiveHeartbeat(5, 69, 0, false);
            assertEquals(70, heartbeats(advanceTime(250)).getFirst().echoedToken());
            handle(new PeerEvent.PeerConnected(PEER, ZONE, 6));
            assertEquals(0, heartbeats(advanceTime(250)).getFirst().echoedToken());
        }

        @Test
        void sendTimeIsKnownForEightSeconds() {
            long sentMillis = nowMillis + 200;
            long token = heartbeats(advanceTime(300)).getFirst().token();
            MembershipSection section = board.membership();
            OptionalLong sent = section.heartbeatSentNanos(PEER, token);
            assertTrue(sent.isPresent() && sent.getAsLong() <= sentMillis * MILLI);
            assertEquals(OptionalLong.empty(), section.heartbeatSentNanos(PEER, token + 1));
            assertEquals(OptionalLong.empty(), section.heartbeatSentNanos(PEER, 0));
            assertEquals(OptionalLong.empty(), section.heartbeatSentNanos(HostId.of("stranger"), token));
            for (int heartbeat = 1; heartbeat <= 34; heartbeat++) {
                receiveHeartbeat(5, heartbeat, 0, false);
                advanceTime(250);
            }
            assertEquals(OptionalLong.empty(), section.heartbeatSentNanos(PEER, token));
        }

        @Test
        void announceADrain() {
            board.drain().enter(new DrainPhase.Announcing(0));
            assertTrue(heartbeats(advanceTime(250)).getFirst().draining());
        }
    }

    @Nested
    class Members {
        @Test
        void reflectTheNewestHeartbeat() {
            receiveHeartbeat(5, 70, 12, true);
            assertEquals(12, peer().configurationVersion());
            assertTrue(peer().draining());
        }

        @Test
        void ofAnotherIncarnationIgnoreLateEvents() {
            handle(new PeerEvent.PeerConnected(PEER, ZONE, 6));
            handle(new PeerEvent.PeerDisconnected(PEER, 5));
            receiveHeartbeat(5, 70, 12, true);
            assertTrue(peer().linked());
            assertEquals(0, peer().configurationVersion());
        }
    }

    @Nested
    class Silence {
        @Test
        void closesTheLinkOnce() {
            receiveHeartbeat(5, 1, 0, false);
            assertEquals(List.of(), closes(advanceTime(1_500)));
            assertEquals(List.of(new PeerEffect.CloseLink(PEER)), closes(advanceTime(2_000)));
            assertFalse(peer().linked());
        }

        @Test
        void isIgnoredRightAfterAPauseOfThisProcess() {
            receiveHeartbeat(5, 1, 0, false);
            nowMillis += 3_000;
            assertEquals(List.of(), closes(advanceTime(50)), "heartbeats are still queued behind the tick");
            receiveHeartbeat(5, 2, 0, false);
            assertEquals(List.of(), closes(advanceTime(1_500)));
            assertEquals(List.of(new PeerEffect.CloseLink(PEER)), closes(advanceTime(100)));
        }

        private static List<PeerEffect> closes(List<PeerEffect> effects) {
            return effects.stream()
                    .filter(PeerEffect.CloseLink.class::isInstance)
                    .toList();
        }
    }
}
