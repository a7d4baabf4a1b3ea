package org.plantainwharf.effect;

import java.util.List;

/**
 * One line for the log. Immutable.
 *
 * @param event what happened
 * @param fields names and values in turn
 */
public record LogEffect(String event, List<Object> fields) implements Effect {
    /** Copies the fields. */
    public LogEffect {
        fields = List.copyOf(fields);
    }
}
