package org.plantainwharf.backend;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Incremental parser for a stream of server-sent events. The input may be split at any byte, even within a character.
 * An event that is not terminated by a blank line is never returned. Not thread-safe.
 */
final class EventStreamParser {
    /** Media type of a stream of events. */
    static final String MEDIA_TYPE = "text/event-stream";

    private final int maximumEventBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String name = "";
    private boolean hasData;
    private boolean afterCarriageReturn;

    private EventStreamParser(int maximumEventBytes) {
        this.maximumEventBytes = maximumEventBytes;
    }

    /** Returns a parser that rejects events larger than {@code maximumEventBytes}. */
    static EventStreamParser create(int maximumEventBytes) {
        return new EventStreamParser(maximumEventBytes);
    }

    /** Parses bytes and returns the events that they complete, or empty if an event exceeds the maximum size. */
    Optional<List<ServerSentEvent>> feed(byte[] bytes) {
        List<ServerSentEvent> events = new ArrayList<>();
        for (byte value : bytes) {
            boolean completesLineEnd = value == '\n' && afterCarriageReturn;
            afterCarriageReturn = value == '\r';
            if (completesLineEnd) {
                continue;
            }
            if (value == '\n' || value == '\r') {
                endLine(events);
            } else if (line.size() + data.length() >= maximumEventBytes) {
                return Optional.empty();
            } else {
                line.write(value);
            }
        }
        return Optional.of(events);
    }

    private void endLine(List<ServerSentEvent> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.isEmpty()) {
            if (hasData) {
                events.add(new ServerSentEvent(name, data.toString()));
            }
            data.setLength(0);
            name = "";
            hasData = false;
            return;
        }
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        if (value.startsWith(" ")) {
            value = value.substring(1);
        }
        if (field.equals("data")) {
            if (hasData) {
                data.append('\n');
            }
            data.append(value);
            hasData = true;
        } else if (field.equals("event")) {
            name = value;
        }
    }
}
