package org.plantainwharf.observation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.board.Board;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against old knowledge that replaces newer, and against messages that go in circles or exceed their budget. The load
 * is one control daemon with two entry daemons and another control daemon.
 */
class ObservationControllerTest {
    private static final HostId FIRST_ENTRY = HostId.of("edge-1");
    private static final HostId SECOND_ENTRY = HostId.of("edge-2");
    private static final HostId OTHER_CONTROL = HostId.of("core-2");
    private static final ServerStart SERVER = ServerStart.of(ServerId.of("i-1"), 1_000);

    private final Board board = Board.create(Samples.settings("core-1"), 1, 7);
    private final ControlCycle cycle =
            ControlCycle.create(board, List.of(MembershipController.create(), ObservationController.ofControlDaemon()));
    private final List<PeerEffect.SendToPeer> sent = new ArrayList<>();
    private long nowMillis = 100_000;
    private long sequence;

    @BeforeEach
    void linkDaemons() {
        advance(50);
        for (HostId peer : List.of(FIRST_ENTRY, SECOND_ENTRY, OTHER_CONTROL)) {
            run(new PeerEvent.PeerConnected(peer, AvailabilityZone.of("a"), 1));
        }
        receive(OTHER_CONTROL, new PeerMessage.KnownPeers(Map.of()));
        advance(250);
        subscribe(FIRST_ENTRY);
        subscribe(SECOND_ENTRY);
        advance(100);
        sent.clear();
    }

    private void run(Event event) {
        for (Effect effect : cycle.run(event, TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis)) {
            if (effect instanceof PeerEffect.SendToPeer send) {
                sent.add(send);
            }
        }
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            nowMillis += 50;
            run(new TimerEvent.Tick());
        }
    }

    private void receive(HostId from, PeerMessage message) {
        run(new PeerEvent.PeerMessageReceived(from, 1, message));
    }

    private void subscribe(HostId entry) {
        receive(entry, observations(entry, List.of()));
    }

    /** Returns a message that echoes the newest heartbeat of the receiver. */
    private PeerMessage observations(HostId from, List<ServerObservation> observations) {
        sequence++;
        long echoed = sent.stream()
                .filter(send -> send.peer().equals(from))
                .map(PeerEffect.SendToPeer::message)
                .filter(PeerMessage.Heartbeat.class::isInstance)
                .mapToLong(message -> ((PeerMessage.Heartbeat) message).token())
                .max()
                .orElse(lastToken);
        lastToken = echoed;
        return new PeerMessage.ServerObservations(sequence, echoed, observations);
    }

    private long lastToken;

    private static ServerObservation waiting(int waiting, int ageMillis) {
        return new ServerObservation(SERVER, 3, waiting, 100, 0, ageMillis);
    }

    private int waitingKnown() {
        return board.observations().server(SERVER).map(SeenServer::waiting).orElse(-1);
    }

    private List<PeerMessage.ServerObservations> sentTo(HostId peer) {
        return sent.stream()
                .filter(send -> send.peer().equals(peer))
                .map(PeerEffect.SendToPeer::message)
                .filter(PeerMessage.ServerObservations.class::isInstance)
                .map(PeerMessage.ServerObservations.class::cast)
                .toList();
    }

    private int observationsSentTo(HostId peer) {
        return sentTo(peer).stream()
                .mapToInt(message -> message.observations().size())
                .sum();
    }

    /** A link that is slow, or a sender that repeats what it has sent. */
    @Nested
    class DisturbedMessages {
        @Test
        void thatAreRepeatedDoNotReplaceNewerKnowledge() {
            PeerMessage repeated = observations(FIRST_ENTRY, List.of(waiting(9, 0)));
            receive(FIRST_ENTRY, repeated);
            nowMillis += 20;
            receive(SECOND_ENTRY, observations(SECOND_ENTRY, List.of(waiting(1, 0))));
            nowMillis += 20;
            receive(FIRST_ENTRY, repeated);
            assertEquals(1, waitingKnown());
        }

        @Test
        void thatAreOutOfOrderDoNotReplaceNewerKnowledge() {
            PeerMessage earlier = observations(FIRST_ENTRY, List.of(waiting(9, 0)));
            PeerMessage later = observations(FIRST_ENTRY, List.of(waiting(1, 0)));
            receive(FIRST_ENTRY, later);
            nowMillis += 20;
            receive(FIRST_ENTRY, earlier);
            assertEquals(1, waitingKnown());
        }

        @Test
        void thatAreLateDoNotReplaceNewerKnowledge() {
            PeerMessage late = observations(FIRST_ENTRY, List.of(waiting(9, 0)));
            advance(1_000);
            receive(SECOND_ENTRY, observations(SECOND_ENTRY, List.of(waiting(1, 0))));
            nowMillis += 20;
            receive(FIRST_ENTRY, late);
            assertEquals(1, waitingKnown());
        }

        @Test
        void thatEchoNoHeartbeatAreNotUsed() {
            receive(FIRST_ENTRY, new PeerMessage.ServerObservations(1_000, 0, List.of(waiting(9, 0))));
            assertEquals(-1, waitingKnown());
        }

        @Test
        void withAnOlderAgeDoNotReplaceNewerKnowledge() {
            receive(FIRST_ENTRY, observations(FIRST_ENTRY, List.of(waiting(1, 10))));
            nowMillis += 20;
            receive(SECOND_ENTRY, observations(SECOND_ENTRY, List.of(waiting(9, 50))));
            assertEquals(1, waitingKnown());
        }
    }

    @Nested
    class EarlierStarts {
        @Test
        void ofAServerAreNotTakenForLaterOnes() {
            receive(FIRST_ENTRY, observations(FIRST_ENTRY, List.of(waiting(9, 0))));
            assertTrue(board.observations()
                    .server(ServerStart.of(ServerId.of("i-1"), 2_000))
                    .isEmpty());
        }

        @Test
        void areForgottenAfterThirtySeconds() {
            receive(FIRST_ENTRY, observations(FIRST_ENTRY, List.of(waiting(9, 0))));
            advance(30_100);
            assertEquals(0, board.observations().size());
        }
    }

    @Nested
    class PassingOn {
        @Test
        void reachesEntryDaemonsAndControlDaemonsOnce() {
            receive(FIRST_ENTRY, observations(FIRST_ENTRY, List.of(waiting(9, 0))));
            advance(500);
            assertEquals(1, observationsSentTo(SECOND_ENTRY));
            assertEquals(1, observationsSentTo(OTHER_CONTROL));
        }

        /** What control daemons told each other would circulate among them for ever. */
        @Test
        void doesNotReturnToControlDaemons() {
            receive(OTHER_CONTROL, observations(OTHER_CONTROL, List.of(waiting(9, 0))));
            advance(500);
            assertEquals(0, observationsSentTo(OTHER_CONTROL));
            assertEquals(1, observationsSentTo(SECOND_ENTRY));
        }

        @Test
        void addsTheTimeThatTheObservationWasKept() {
            receive(FIRST_ENTRY, observations(FIRST_ENTRY, List.of(waiting(9, 30))));
            advance(100);
            int age = sentTo(SECOND_ENTRY).getLast().observations().getFirst().ageMillis();
            assertTrue(age > 30 && age <= 130, "age " + age);
        }

        /** A daemon that has just started would choose servers blindly until each of them has answered it. */
        @Test
        void tellsADaemonThatHasJustStartedAllWithinAPeriod() {
            for (int first = 0; first < 90; first += 30) {
                receive(FIRST_ENTRY, observations(FIRST_ENTRY, manyServers(first, first + 30)));
                advance(100);
            }
            HostId started = HostId.of("edge-3");
            run(new PeerEvent.PeerConnected(started, AvailabilityZone.of("a"), 1));
            advance(250);
            receive(started, observations(started, List.of()));
            sent.clear();
            advance(100);
            assertEquals(90, observationsSentTo(started));
        }

        @Test
        void endsForDaemonsThatTurnedToAnotherOne() {
            advance(2_100);
            receive(FIRST_ENTRY, observations(FIRST_ENTRY, List.of(waiting(9, 0))));
            advance(200);
            assertEquals(0, observationsSentTo(SECOND_ENTRY));
        }

        /** 612 servers of a zone that all change: entry daemons have 28 KB/s for all control messages. */
        @Test
        void staysWithinItsBudgetAndSendsTheNewestFirst() {
            receive(FIRST_ENTRY, observations(FIRST_ENTRY, manyServers(0, 612)));
            nowMillis += 10;
            receive(FIRST_ENTRY, observations(FIRST_ENTRY, List.of(waiting(9, 0))));
            advance(100);
            assertEquals(ObservationController.MAXIMUM_OBSERVATIONS, observationsSentTo(SECOND_ENTRY));
            assertEquals(
                    SERVER,
                    sentTo(SECOND_ENTRY).getFirst().observations().getFirst().server());
        }

        private List<ServerObservation> manyServers(int first, int end) {
            return IntStream.range(first, end)
                    .mapToObj(index ->
                            new ServerObservation(ServerStart.of(ServerId.of("i-0" + index), 1_000), 3, 2, 100, 98, 0))
                    .toList();
        }
    }
}
