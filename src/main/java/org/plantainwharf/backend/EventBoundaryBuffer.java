package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events after whole events, so that a stream that breaks in the middle of one can go on at
 * another server. Bytes are passed on unchanged. Used by one thread at a time.
 */
final class EventBoundaryBuffer {
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastEventId = Optional.empty();

    private EventBoundaryBuffer() {}

    static EventBoundaryBuffer create() {
        return new EventBoundaryBuffer();
    }

    /** Adds bytes and returns those up to the end of the last whole event, which may be none. */
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

    /** Returns what follows the last whole event. */
    byte[] remainder() {
        return partial.toByteArray();
    }

    /** Returns the id of the last whole event that had one. */
    Optional<String> lastEventId() {
        return lastEventId;
    }

    /** Returns the position after the last blank line. */
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
