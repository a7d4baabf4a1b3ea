package org.plantainwharf.effect;

import java.util.List;

/**
 * Writes a log line. Immutable.
 *
 * @param event name of the log event
 * @param fields alternating field names and values
 */
public record LogEffect(String event, List<Object> fields) implements Effect {
    /** Copies the fields. */
    public LogEffect {
        fields = List.copyOf(fields);
    }
}
