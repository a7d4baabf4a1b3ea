package org.plantainwharf.identity;

/**
 * Names a client account. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record AccountName(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
    public AccountName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("client account must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static AccountName of(String value) {
        return new AccountName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
