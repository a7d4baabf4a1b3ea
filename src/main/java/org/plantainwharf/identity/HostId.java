package org.plantainwharf.identity;

/**
 * Identifies an entry host. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record HostId(String value) {
    /** Refuses a blank value. */
    public HostId {
        if (value.isBlank()) {
            throw new IllegalArgumentException("host must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
