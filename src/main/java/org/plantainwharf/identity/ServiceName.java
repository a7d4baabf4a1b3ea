package org.plantainwharf.identity;

/**
 * Names a service, a set of backend servers that answer the same requests. Never blank. Immutable.
 *
 * @param value the text as it appears in documents and messages
 */
public record ServiceName(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
    public ServiceName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("service must not be blank");
        }
    }

    /** Returns the name with this text. */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
