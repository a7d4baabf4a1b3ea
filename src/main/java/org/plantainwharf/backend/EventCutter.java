package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events after whole events, so that a stream that breaks in the middle of one can go on at
 * another server. Bytes are passed on unchanged. Used by one thread at a time.
 */
final class EventCutter {
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();
    private Optional<String> lastId = Optional.empty();

    private EventCutter() {}

    static EventCutter create() {
        return new EventCutter();
    }

    /** Adds bytes and returns those up to the end of the last whole event, which may be none. */
    byte[] add(byte[] bytes) {
        partial.writeBytes(bytes);
        byte[] all = partial.toByteArray();
        int end = endOfWholeEvents(all);
        if (end == 0) {
            return new byte[0];
        }
        byte[] whole = Arrays.copyOf(all, end);
        partial.reset();
        partial.write(all, end, all.length - end);
        findLastId(whole);
        return whole;
    }

    /** Returns what follows the last whole event. */
    byte[] rest() {
        return partial.toByteArray();
    }

    /** Returns the id of the last whole event that had one. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Returns the position after the last blank line. */
    private static int endOfWholeEvents(byte[] bytes) {
        for (int index = bytes.length - 1; index > 0; index--) {
            if (bytes[index] == '\n'
                    && (bytes[index - 1] == '\n'
                            || index > 1 && bytes[index - 1] == '\r' && bytes[index - 2] == '\n')) {
                return index + 1;
            }
        }
        return 0;
    }

    private void findLastId(byte[] whole) {
        String text = new String(whole, StandardCharsets.ISO_8859_1);
        text.lines()
                .filter(line -> line.startsWith("id:"))
                .reduce((first, second) -> second)
                .ifPresent(line ->
                        lastId = Optional.of(line.substring("id:".length()).strip()));
    }
}
