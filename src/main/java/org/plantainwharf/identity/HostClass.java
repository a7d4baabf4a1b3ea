package org.plantainwharf.identity;

/**
 * Names a class of hosts with the same price and speed, for example {@code reclaimable-small}. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record HostClass(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
    public HostClass {
        if (value.isBlank()) {
            throw new IllegalArgumentException("host class must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static HostClass of(String value) {
        return new HostClass(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
