package org.plantainwharf.codec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.Message;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.plantainwharf.call.Content;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.wire.PeerProtocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against contents that are sent whole or not resolved, and against costs of the first large message. */
class FrameContentsTest {
    private static final PeerProtocol.Content BEFORE =
            PeerProtocol.Content.newBuilder().setMediaType("before").build();
    private static final PeerProtocol.Content AFTER =
            PeerProtocol.Content.newBuilder().setMediaType("after").build();

    @Nested
    class Paths {
        /** A new message with a content must be added to the mapping. */
        @TestFactory
        List<DynamicTest> areAllMapped() {
            List<List<FieldDescriptor>> paths = new ArrayList<>();
            findPaths(PeerProtocol.Frame.getDescriptor(), new ArrayDeque<>(), paths);
            assertTrue(paths.size() >= 19, paths.size() + " paths");
            return paths.stream()
                    .map(path -> DynamicTest.dynamicTest(String.valueOf(path.getLast()) + " of " + path, () -> {
                        PeerProtocol.Frame frame = frameWith(path, BEFORE);
                        assertEquals(
                                frameWith(path, AFTER),
                                FrameContents.map(frame, content -> content.equals(BEFORE) ? AFTER : content));
                        assertSame(frame, FrameContents.map(frame, content -> content));
                    }))
                    .toList();
        }

        private static void findPaths(Descriptor type, Deque<FieldDescriptor> path, List<List<FieldDescriptor>> paths) {
            if (type.equals(PeerProtocol.Content.getDescriptor())) {
                paths.add(List.copyOf(path));
                return;
            }
            for (FieldDescriptor field : type.getFields()) {
                boolean visited =
                        path.stream().anyMatch(step -> step.getContainingType().equals(type));
                if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE && !visited) {
                    path.addLast(field);
                    findPaths(field.getMessageType(), path, paths);
                    path.removeLast();
                }
            }
        }

        private static PeerProtocol.Frame frameWith(List<FieldDescriptor> path, Message content) throws IOException {
            Message value = content;
            for (FieldDescriptor field : path.reversed()) {
                DynamicMessage.Builder parent = DynamicMessage.newBuilder(field.getContainingType());
                if (field.isRepeated()) {
                    parent.addRepeatedField(field, value);
                } else {
                    parent.setField(field, value);
                }
                value = parent.build();
            }
            return PeerProtocol.Frame.parseFrom(value.toByteString());
        }
    }

    @Nested
    class FirstLargeMessage {
        /**
         * Preparing the reflection of protobuf took 150 ms of processor time, over a second on a small host, in which no
         * heartbeat was handled and all links were closed as silent.
         */
        @Test
        void needsNoReflection() throws Exception {
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-verbose:class",
                            "-cp",
                            System.getProperty("java.class.path"),
                            LargeMessageMain.class.getName())
                    .redirectErrorStream(true)
                    .start();
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(0, process.waitFor(), output.lines().limit(20).toList().toString());
            assertTrue(output.contains("FrameContents"), "the mapping was not used");
            assertFalse(output.contains("FieldAccessorTable$Singular"), "field accessors were loaded");
        }
    }

    /** Encodes and decodes one large message, in a process of its own. */
    static final class LargeMessageMain {
        private LargeMessageMain() {}

        public static void main(String[] arguments) {
            FrameCodec codec = FrameCodec.create(PeerMessageCodec.create());
            Map<ContentReference, byte[]> contents = new HashMap<>();
            PeerMessage message = new PeerMessage.Replication(
                    0,
                    new ReplicaMessage.AppendRequest(
                            1,
                            VoterId.of(HostId.of("a"), 1),
                            0,
                            0,
                            List.of(ReplicaEntry.of(
                                    1,
                                    1,
                                    new Command.ReplaceDocument(1, Content.of("application/json", new byte[300_000])))),
                            0,
                            1));
            byte[] frame = codec.encode(message, plain -> {
                        ContentReference.Compressed compressed = ContentReference.compress(plain);
                        contents.put(compressed.reference(), compressed.bytes());
                        return compressed.reference();
                    })
                    .get();
            LinkFrame.Referring referring =
                    (LinkFrame.Referring) codec.decode(frame).get();
            LinkFrame resolved = referring
                    .envelope()
                    .resolve(reference -> reference.decompress(Objects.requireNonNull(contents.get(reference))))
                    .get();
            if (!resolved.equals(new LinkFrame.Whole(message))) {
                throw new IllegalStateException("the message changed on its way");
            }
        }
    }
}
