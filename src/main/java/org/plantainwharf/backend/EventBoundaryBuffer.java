package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Buffers a stream of server-sent events up to event boundaries, so that a stream that fails in the middle of an event
 * can be resumed at another server. The bytes are not changed. Not thread-safe; used by one thread at a time.
 */
final class EventBoundaryBuffer {
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastEventId = Optional.empty();

    private EventBoundaryBuffer() {}

    static EventBoundaryBuffer create() {
        return new EventBoundaryBuffer();
    }

    /**
     * Appends bytes and returns all buffered bytes up to the end of the last complete event. The array is empty if no
     * event is complete.
     */
    byte[] append(byte[] bytes) {
        partial.writeBytes(bytes);
        byte[] all = partial.toByteArray();
        int end = endOfLastCompleteEvent(all);
        if (end == 0) {
            return new byte[0];
        }
        byte[] complete = Arrays.copyOf(all, end);
        partial.reset();
        partial.write(all, end, all.length - end);
        updateLastEventId(complete);
        return complete;
    }

    /** Returns the number of buffered bytes. */
    int size() {
        return partial.size();
    }

    /** Returns the buffered bytes after the last complete event. */
    byte[] remainder() {
        return partial.toByteArray();
    }

    /** Returns the id of the last complete event that has one, or empty if none has. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Returns the position after the last blank line, or 0 if there is none. */
    private static int endOfLastCompleteEvent(byte[] bytes) {
        for (int index = bytes.length - 1; index > 0; index--) {
            if (bytes[index] == '\n'
                    && (bytes[index - 1] == '\n'
                            || index > 1 && bytes[index - 1] == '\r' && bytes[index - 2] == '\n')) {
                return index + 1;
            }
        }
        return 0;
    }

    private void updateLastEventId(byte[] events) {
        String text = new String(events, StandardCharsets.ISO_8859_1);
        text.lines()
                .filter(line -> line.startsWith("id:"))
                .reduce((first, second) -> second)
                .ifPresent(line ->
                        lastEventId = Optional.of(line.substring("id:".length()).strip()));
    }
}
