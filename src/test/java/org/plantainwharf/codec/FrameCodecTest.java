package org.plantainwharf.codec;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.call.Content;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against frames that are too large, messages that change on the way, and frames that take a daemon down. */
class FrameCodecTest {
    private final FrameCodec codec = FrameCodec.create(PeerMessageCodec.create());
    private final Map<ContentReference, byte[]> contents = new HashMap<>();

    private byte[] encode(PeerMessage message) {
        byte[] frame = codec.encode(message, plain -> {
                    ContentReference.Compressed compressed = ContentReference.compress(plain);
                    contents.put(compressed.reference(), compressed.bytes());
                    return compressed.reference();
                })
                .get();
        assertTrue(frame.length <= FrameCodec.MAXIMUM_FRAME_BYTES, frame.length + " bytes");
        return frame;
    }

    private PeerMessage decode(byte[] frame) {
        LinkFrame decoded = codec.decode(frame).get();
        while (decoded instanceof LinkFrame.Referring referring) {
            decoded = referring
                    .envelope()
                    .resolve(reference -> reference.decompress(Objects.requireNonNull(contents.get(reference))))
                    .get();
        }
        return assertInstanceOf(LinkFrame.Whole.class, decoded).message();
    }

    private static Command document(int bytes, boolean compressible) {
        byte[] content = new byte[bytes];
        if (!compressible) {
            new SplittableRandom(bytes).nextBytes(content);
        }
        return new Command.ReplaceDocument(bytes, Content.of("application/json", content));
    }

    private static PeerMessage append(List<Command> commands) {
        return new PeerMessage.Replication(
                0,
                new ReplicaMessage.AppendRequest(
                        1,
                        VoterId.of(HostId.of("a"), 1),
                        0,
                        0,
                        commands.stream()
                                .map(command -> ReplicaEntry.of(1, 1, command))
                                .toList(),
                        0,
                        1));
    }

    @Nested
    class LargeMessages {
        @Test
        void areSentByReferenceAndUnchanged() {
            for (boolean compressible : List.of(true, false)) {
                PeerMessage message = append(List.of(
                        document(10, compressible), document(300_000, compressible), document(4 << 20, compressible)));
                assertEquals(message, decode(encode(message)));
            }
            assertEquals(4, contents.size());
        }

        @Test
        void withManySmallContentsAreSentByOneReference() {
            PeerMessage message = append(java.util.Collections.nCopies(200, document(1_000, false)));
            assertEquals(message, decode(encode(message)));
            assertEquals(1, contents.size());
        }
    }

    @Nested
    class SmallMessages {
        @Test
        void areSentWhole() {
            PeerMessage message = append(List.of(document(10_000, false)));
            assertInstanceOf(
                    LinkFrame.Whole.class, codec.decode(encode(message)).get());
        }
    }

    @Nested
    class MalformedFrames {
        @Test
        void areFailures() {
            SplittableRandom random = new SplittableRandom(20261205);
            byte[] valid = encode(append(List.of(document(300_000, false), document(5, true))));
            for (int attempt = 0; attempt < 20_000; attempt++) {
                byte[] frame = valid.clone();
                for (int change = 0; change <= random.nextInt(4); change++) {
                    frame[random.nextInt(frame.length)] = (byte) random.nextInt();
                }
                if (codec.decode(frame).getOrNull() instanceof LinkFrame.Referring referring) {
                    referring.envelope().resolve(reference -> new byte[] {1, 2, 3});
                }
            }
        }

        @Test
        void withContentsOfAnotherLengthAreFailures() {
            byte[] frame = encode(append(List.of(document(300_000, false))));
            LinkFrame.Referring referring = assertInstanceOf(
                    LinkFrame.Referring.class, codec.decode(frame).get());
            assertTrue(referring
                    .envelope()
                    .resolve(reference -> reference.decompress(new byte[] {1}))
                    .isLeft());
        }
    }
}
