package org.plantainwharf.identity;

/**
 * The key under which a caller may resend a call that must not be repeated. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record IdempotencyKey(String value) {
    /** Refuses a blank value. */
    public IdempotencyKey {
        if (value.isBlank()) {
            throw new IllegalArgumentException("idempotency key must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static IdempotencyKey of(String value) {
        return new IdempotencyKey(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
