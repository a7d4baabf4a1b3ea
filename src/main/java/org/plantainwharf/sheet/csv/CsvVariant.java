package org.plantainwharf.sheet.csv;

/** The CSV variants that spreadsheets export, depending on their locale. Immutable. */
public sealed interface CsvVariant {
    /** Separator {@code ;} and decimal comma. */
    record Semicolon() implements CsvVariant {}

    /** Separator {@code ,} and decimal point. */
    record Comma() implements CsvVariant {}

    /** Returns the character between cells. */
    default char separator() {
        return switch (this) {
            case Semicolon semicolon -> ';';
            case Comma comma -> ',';
        };
    }

    /** Returns the decimal separator of this locale. Parsing also accepts the other one. */
    default char decimalSign() {
        return switch (this) {
            case Semicolon semicolon -> ',';
            case Comma comma -> '.';
        };
    }

    /**
     * Detects the variant from the first row with a separator outside quotes; {@code ;} takes precedence over {@code ,}.
     * A text without separators is treated as {@link Semicolon}.
     */
    static CsvVariant detect(String text) {
        boolean quoted = false;
        boolean comma = false;
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character == '"') {
                quoted = !quoted;
            } else if (!quoted && character == ';') {
                return new Semicolon();
            } else if (!quoted && character == ',') {
                comma = true;
            } else if (!quoted && (character == '\n' || character == '\r') && comma) {
                return new Comma();
            }
        }
        return comma ? new Comma() : new Semicolon();
    }
}
