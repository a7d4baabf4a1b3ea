package org.plantainwharf.identity;

/**
 * Names a rank of work. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record RankName(String value) {
    /** Refuses a blank value. */
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
