package org.plantainwharf.backend;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against events that are split, lost or repeated when a stream is resumed at another server. */
class EventBoundaryBufferTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: bb\ndata: c\n\nid: 3\ndata: d\n\n";

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Nested
    class PartialEvents {
        @Test
        void areBufferedUntilComplete() {
            EventBoundaryBuffer buffer = EventBoundaryBuffer.create();
            assertEquals("id: 1\ndata: a\n\n", text(buffer.append(bytes("id: 1\ndata: a\n\nid: 2\nda"))));
            assertEquals(Optional.of("1"), buffer.lastEventId());
            assertEquals("id: 2\nda", text(buffer.remainder()));
        }

        @Test
        void areSeparatedByCarriageReturnLineFeed() {
            EventBoundaryBuffer buffer = EventBoundaryBuffer.create();
            assertEquals("id: 7\r\ndata: a\r\n\r\n", text(buffer.append(bytes("id: 7\r\ndata: a\r\n\r\nid"))));
            assertEquals(Optional.of("7"), buffer.lastEventId());
        }
    }

    @Group
    class ArbitrarySplits {
        @Property(tries = 200)
        void preserveEveryByteInOrder(
                @ForAll @IntRange(min = 0, max = 50) int first, @ForAll @IntRange(min = 0, max = 50) int second) {
            int low = Math.min(Math.min(first, second), STREAM.length());
            int high = Math.min(Math.max(first, second), STREAM.length());
            EventBoundaryBuffer buffer = EventBoundaryBuffer.create();
            String forwarded = text(buffer.append(bytes(STREAM.substring(0, low))))
                    + text(buffer.append(bytes(STREAM.substring(low, high))))
                    + text(buffer.append(bytes(STREAM.substring(high))));
            assertEquals(STREAM, forwarded + text(buffer.remainder()));
            assertEquals(Optional.of("3"), buffer.lastEventId());
        }
    }
}
