package org.plantainwharf.identity;

/**
 * Identifies a backend server. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record ServerId(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
    public ServerId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("backend server must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static ServerId of(String value) {
        return new ServerId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
