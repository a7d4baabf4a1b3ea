package org.plantainwharf.identity;

/**
 * Names a route to a plain service. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record RouteName(String value) {
    /** Refuses a blank value. */
    public RouteName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("route must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static RouteName of(String value) {
        return new RouteName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
