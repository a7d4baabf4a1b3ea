package org.plantainwharf.identity;

/**
 * Names a route that plain services answer. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record RouteName(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
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
