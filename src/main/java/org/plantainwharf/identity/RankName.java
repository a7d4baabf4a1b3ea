package org.plantainwharf.identity;

/**
 * Names a rank, a class of work with its own latency target and worth. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record RankName(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
    public RankName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("rank must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static RankName of(String value) {
        return new RankName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
