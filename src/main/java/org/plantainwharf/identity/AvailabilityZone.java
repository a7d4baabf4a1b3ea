package org.plantainwharf.identity;

/**
 * Names an availability zone. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record AvailabilityZone(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
    public AvailabilityZone {
        if (value.isBlank()) {
            throw new IllegalArgumentException("availability zone must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
