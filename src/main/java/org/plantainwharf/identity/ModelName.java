package org.plantainwharf.identity;

/**
 * Names a model that model engines serve. Never blank. Immutable.
 *
 * @param value the text as it appears in settings, sheets and messages
 */
public record ModelName(String value) {
    /** Throws {@link IllegalArgumentException} if the value is blank. */
    public ModelName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("model must not be blank");
        }
    }

    /** Returns the identifier with this text. */
    public static ModelName of(String value) {
        return new ModelName(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
