package org.plantainwharf.sheet.csv;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Either;

/**
 * Reads numbers as spreadsheets of different locales write them: decimal point or comma, thousands separated by a
 * blank, a no-break blank or a narrow no-break blank. Thread-safe.
 */
final class SpreadsheetNumber {
    private static final Pattern NUMBER =
            Pattern.compile("(-?)(\\d+|\\d{1,3}(?:[ \\u00A0\\u202F]\\d{3})+)(?:([.,])(\\d+))?");
    private static final int MAXIMUM_LENGTH = 30;

    private SpreadsheetNumber() {}

    /** Returns the value of a whole number, or why it is none. */
    static Either<String, Long> parseInteger(String text) {
        Matcher matcher = NUMBER.matcher(text);
        if (text.length() > MAXIMUM_LENGTH || !matcher.matches()) {
            return Either.left("not a number");
        }
        if (matcher.group(3) != null) {
            return Either.left(
                    "must be a whole number without decimal sign; thousands may be separated by blanks only");
        }
        try {
            return Either.right(new BigDecimal(digits(matcher)).longValueExact());
        } catch (ArithmeticException e) {
            return Either.left("number is too large");
        }
    }

    /**
     * Returns the value of a decimal number, or why it is none. A sign that is not the locale's own decimal sign and
     * precedes exactly three digits, such as the point in {@code 1.200} in a sheet with decimal commas, may separate
     * thousands and is refused: a guess could be wrong by a factor of 1000.
     */
    static Either<String, Double> parseDecimal(String text, CsvVariant variant) {
        Matcher matcher = NUMBER.matcher(text);
        if (text.length() > MAXIMUM_LENGTH || !matcher.matches()) {
            return Either.left("not a number");
        }
        String fraction = matcher.group(4);
        if (fraction == null) {
            return Either.right(new BigDecimal(digits(matcher)).doubleValue());
        }
        boolean unexpectedSign = matcher.group(3).charAt(0) != variant.decimalSign();
        boolean possiblyThousands = fraction.length() == 3
                && matcher.group(2).length() <= 3
                && !matcher.group(2).startsWith("0");
        if (unexpectedSign && possiblyThousands) {
            return Either.left("ambiguous: write " + matcher.group(2) + fraction + " or " + matcher.group(2)
                    + variant.decimalSign() + fraction);
        }
        return Either.right(new BigDecimal(digits(matcher) + "." + fraction).doubleValue());
    }

    /** Returns a number without exponent and with the variant's decimal sign. */
    static String format(double value, CsvVariant variant) {
        BigDecimal decimal = BigDecimal.valueOf(value);
        String text = value == 0 ? "0" : decimal.stripTrailingZeros().toPlainString();
        return text.replace('.', variant.decimalSign());
    }

    private static String digits(Matcher matcher) {
        return matcher.group(1) + matcher.group(2).replaceAll("[^0-9]", "");
    }
}
