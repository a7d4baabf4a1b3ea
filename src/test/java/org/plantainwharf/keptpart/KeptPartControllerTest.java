package org.plantainwharf.keptpart;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

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
import org.plantainwharf.observation.ObservationController;
import org.plantainwharf.observation.ServerStart;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against uses of parts that are dated too late, that go in circles or that exceed their budget. The load is one
 * control daemon with two entry daemons and another control daemon.
 */
class KeptPartControllerTest {
    private static final HostId FIRST_ENTRY = HostId.of("edge-1");
    private static final HostId SECOND_ENTRY = HostId.of("edge-2");
    private static final HostId OTHER_CONTROL = HostId.of("core-2");
    private static final ServerStart SERVER = ServerStart.of(ServerId.of("i-1"), 1_000);
    private static final long PART = 17;

    /** A part is replaced between 6 and 12 s after its last use. */
    private static final Retention RETENTION = new Retention(10_000, 1);

    private final Board board = Board.create(Samples.settings("core-1"), 1, 7);
    private final ControlCycle cycle = ControlCycle.create(
            board,
            List.of(
                    MembershipController.create(),
                    ObservationController.ofControlDaemon(),
                    KeptPartController.create()));
    private final List<PeerEffect.SendToPeer> sent = new ArrayList<>();
    private long nowMillis = 100_000;
    private long sequence;
    private long lastToken;

    @BeforeEach
    void linkDaemons() {
        advance(50);
        for (HostId peer : List.of(FIRST_ENTRY, SECOND_ENTRY, OTHER_CONTROL)) {
            run(new PeerEvent.PeerConnected(peer, AvailabilityZone.of("a"), 1));
        }
        receive(OTHER_CONTROL, new PeerMessage.KnownPeers(Map.of()));
        advance(250);
        subscribe();
        advance(100);
    }

    /** Entry daemons say now and then that they listen. */
    private void subscribe() {
        for (HostId entry : List.of(FIRST_ENTRY, SECOND_ENTRY)) {
            sequence++;
            receive(entry, new PeerMessage.ServerObservations(sequence, lastToken, List.of()));
        }
    }

    private void run(Event event) {
        for (Effect effect : cycle.run(event, TimeUnit.MILLISECONDS.toNanos(nowMillis), nowMillis)) {
            if (effect instanceof PeerEffect.SendToPeer send) {
                sent.add(send);
                if (send.message() instanceof PeerMessage.Heartbeat heartbeat) {
                    lastToken = heartbeat.token();
                }
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

    private PeerMessage uses(int ageMillis, long... parts) {
        sequence++;
        return new PeerMessage.KeptParts(
                sequence,
                lastToken,
                LongStream.of(parts)
                        .mapToObj(part -> new KeptPart(SERVER, part, 500, ageMillis))
                        .toList());
    }

    private double likelihood() {
        return board.keptParts().likelihood(SERVER, PART, RETENTION, TimeUnit.MILLISECONDS.toNanos(nowMillis));
    }

    private int partsSentTo(HostId peer) {
        return sent.stream()
                .filter(send -> send.peer().equals(peer))
                .mapToInt(send -> send.message() instanceof PeerMessage.KeptParts message
                        ? message.parts().size()
                        : 0)
                .sum();
    }

    @Nested
    class DisturbedMessages {
        /** A repeated message would keep a part alive that the server has replaced. */
        @Test
        void thatAreRepeatedDoNotRenewAUse() {
            PeerMessage repeated = uses(0, PART);
            receive(FIRST_ENTRY, repeated);
            advance(13_000);
            receive(FIRST_ENTRY, repeated);
            assertEquals(0, likelihood());
        }

        @Test
        void thatAreLateAreDatedByTheHeartbeatThatTheyEcho() {
            PeerMessage late = uses(8_000, PART);
            advance(4_500);
            receive(FIRST_ENTRY, late);
            assertEquals(0, likelihood());
        }

        @Test
        void thatAreOutOfOrderAreNotUsed() {
            PeerMessage earlier = uses(0, PART);
            receive(FIRST_ENTRY, uses(0, PART + 1));
            receive(FIRST_ENTRY, earlier);
            assertEquals(0, likelihood());
        }
    }

    @Nested
    class PassingOn {
        @Test
        void reachesEntryDaemonsAndControlDaemonsOnce() {
            receive(FIRST_ENTRY, uses(0, PART));
            advance(600);
            assertEquals(1, partsSentTo(SECOND_ENTRY));
            assertEquals(1, partsSentTo(OTHER_CONTROL));
        }

        @Test
        void doesNotReturnToControlDaemons() {
            receive(OTHER_CONTROL, uses(0, PART));
            advance(600);
            assertEquals(1, partsSentTo(SECOND_ENTRY));
            assertEquals(0, partsSentTo(OTHER_CONTROL));
        }

        @Test
        void staysWithinItsBudget() {
            receive(
                    FIRST_ENTRY,
                    uses(
                            0,
                            IntStream.range(0, 300)
                                    .mapToLong(part -> 1_000 + part)
                                    .toArray()));
            advance(1_000);
            int parts = partsSentTo(SECOND_ENTRY);
            assertTrue(parts <= 6 * KeptPartController.MAXIMUM_PARTS, parts + " parts in a second");
        }
    }
}
