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

class EventCutterTest {
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
        void areHeldBackUntilTheyAreWhole() {
            EventCutter cutter = EventCutter.create();
            assertEquals("id: 1\ndata: a\n\n", text(cutter.add(bytes("id: 1\ndata: a\n\nid: 2\nda"))));
            assertEquals(Optional.of("1"), cutter.lastId());
            assertEquals("id: 2\nda", text(cutter.rest()));
        }

        @Test
        void endingWithCarriageReturnsAreSeen() {
            EventCutter cutter = EventCutter.create();
            assertEquals("id: 7\r\ndata: a\r\n\r\n", text(cutter.add(bytes("id: 7\r\ndata: a\r\n\r\nid"))));
            assertEquals(Optional.of("7"), cutter.lastId());
        }
    }

    @Group
    class AnyCut {
        @Property(tries = 200)
        void passesOnEveryByteOnceAndInOrder(
                @ForAll @IntRange(min = 0, max = 50) int first, @ForAll @IntRange(min = 0, max = 50) int second) {
            int low = Math.min(Math.min(first, second), STREAM.length());
            int high = Math.min(Math.max(first, second), STREAM.length());
            EventCutter cutter = EventCutter.create();
            String passed = text(cutter.add(bytes(STREAM.substring(0, low))))
                    + text(cutter.add(bytes(STREAM.substring(low, high))))
                    + text(cutter.add(bytes(STREAM.substring(high))));
            assertEquals(STREAM, passed + text(cutter.rest()));
            assertEquals(Optional.of("3"), cutter.lastId());
        }
    }
}
