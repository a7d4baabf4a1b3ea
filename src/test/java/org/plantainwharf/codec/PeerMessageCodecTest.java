package org.plantainwharf.codec;

import java.util.Arrays;

import io.vavr.control.Either;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against message fields lost in encoding and against malformed frames that make decoding throw. */
class PeerMessageCodecTest {
    private static final PeerMessageCodec CODEC = PeerMessageCodec.create();

    private static void assertRoundTrips(PeerMessage message) {
        byte[] bytes = CODEC.encode(message);
        assertEquals(Either.right(message), CODEC.decode(bytes));
        assertArrayEquals(bytes, CODEC.encode(message), "the same message must always encode to the same bytes");
    }

    @Group
    class RoundTrip {
        @Property(tries = 1_000, seed = "1")
        void preservesEveryMessage(@ForAll("variants") Class<? extends PeerMessage> type, @ForAll long seed) {
            assertRoundTrips(new RandomValues(seed).value(type));
        }

        @Property(tries = 1_000, seed = "2")
        void preservesEveryReplicaMessage(
                @ForAll("replicaMessages") Class<? extends ReplicaMessage> type, @ForAll long seed) {
            assertRoundTrips(new PeerMessage.Replication(1, new RandomValues(seed).value(type)));
        }

        @Property(tries = 1_000, seed = "3")
        void preservesEveryCommand(@ForAll("commands") Class<? extends Command> type, @ForAll long seed) {
            assertRoundTrips(new PeerMessage.Propose(1, "proposal", new RandomValues(seed).value(type)));
        }

        @Property(tries = 500, seed = "4")
        void preservesEveryResult(@ForAll("results") Class<? extends CommandResult> type, @ForAll long seed) {
            assertRoundTrips(new PeerMessage.ProposeResponse("proposal", new RandomValues(seed).value(type)));
        }

        @Property(tries = 100, seed = "5")
        void preservesHello(@ForAll long incarnation) {
            Hello hello = Hello.of(HostId.of("host-1"), AvailabilityZone.of("zone-1"), incarnation);
            assertEquals(Either.right(hello), CODEC.decodeHello(CODEC.encodeHello(hello)));
        }

        @Provide
        Arbitrary<Class<?>> variants() {
            return Arbitraries.of(RandomValues.variants(PeerMessage.class));
        }

        @Provide
        Arbitrary<Class<?>> replicaMessages() {
            return Arbitraries.of(RandomValues.variants(ReplicaMessage.class));
        }

        @Provide
        Arbitrary<Class<?>> commands() {
            return Arbitraries.of(RandomValues.variants(Command.class));
        }

        @Provide
        Arbitrary<Class<?>> results() {
            return Arbitraries.of(RandomValues.variants(CommandResult.class));
        }
    }

    @Group
    class MalformedInput {
        @Property(tries = 2_000, seed = "6")
        void truncatedFrameNeverThrows(@ForAll long seed) {
            byte[] encoded = CODEC.encode(new RandomValues(seed).value(PeerMessage.class));
            for (int length = 0; length < encoded.length; length += 1 + encoded.length / 16) {
                byte[] truncated = Arrays.copyOf(encoded, length);
                assertNotNull(CODEC.decode(truncated));
                assertNotNull(CODEC.decodeHello(truncated));
            }
        }

        @Property(tries = 5_000, seed = "7")
        void randomFrameNeverThrows(@ForAll byte[] bytes) {
            assertNotNull(CODEC.decode(bytes));
            assertNotNull(CODEC.decodeHello(bytes));
        }

        @Property(tries = 5_000, seed = "8")
        void damagedFrameNeverThrows(@ForAll long seed, @ForAll int position, @ForAll byte value) {
            byte[] bytes = CODEC.encode(new RandomValues(seed).value(PeerMessage.class));
            bytes[Math.floorMod(position, bytes.length)] = value;
            assertNotNull(CODEC.decode(bytes));
        }

        @Property(tries = 1, seed = "9")
        void reportsInvalidFrames() {
            Either<Failure, PeerMessage> empty = CODEC.decode(new byte[0]);
            assertTrue(empty.isLeft());
            assertEquals(ErrorKind.FRAME_INVALID, empty.getLeft().kind());
            byte[] hello = CODEC.encodeHello(Hello.of(HostId.of("h"), AvailabilityZone.of("z"), 1));
            assertTrue(
                    CODEC.decode(hello).isLeft(),
                    "a second hello must be refused: it could change the identity of a link");
            assertTrue(CODEC.decodeHello(CODEC.encode(new PeerMessage.Heartbeat(1, 0, 0, false)))
                    .isLeft());
        }
    }
}
