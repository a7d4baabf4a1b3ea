package org.plantainwharf.identity;

/**
 * Identifies a host that runs a daemon. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record HostId(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
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
