package org.plantainwharf.identity;

/**
 * Identifies one request of a caller. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record RequestId(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
    public RequestId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("request must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
