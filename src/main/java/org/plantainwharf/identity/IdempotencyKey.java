package org.plantainwharf.identity;

/**
 * The key with which a caller may resend an order without the risk that it runs twice. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record IdempotencyKey(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
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
