package org.plantainwharf.sheet.csv;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vavr.control.Either;

/**
 * Parses and formats numbers in the notation of spreadsheets in different locales: decimal point or comma, thousands
 * grouped by a space, a no-break space or a narrow no-break space. Stateless; thread-safe.
 */
final class SpreadsheetNumber {
    private static final Pattern NUMBER =
            Pattern.compile("(-?)(\\d+|\\d{1,3}(?:[ \\u00A0\\u202F]\\d{3})+)(?:([.,])(\\d+))?");
    private static final int MAXIMUM_LENGTH = 30;

    private SpreadsheetNumber() {}

    /** Parses an integer. Returns its value, or the reason why the text is invalid. */
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
     * Parses a decimal number. Returns its value, or the reason why the text is invalid. A sign that is not the variant's
     * decimal sign and precedes exactly three digits, such as the point in {@code 1.200} in a sheet with decimal commas,
     * might be a thousands separator. It is rejected as ambiguous, since a wrong guess changes the value by a factor of
     * 1000.
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

    /** Formats a number without exponent and with the variant's decimal sign. */
    static String format(double value, CsvVariant variant) {
        BigDecimal decimal = BigDecimal.valueOf(value);
        String text = value == 0 ? "0" : decimal.stripTrailingZeros().toPlainString();
        return text.replace('.', variant.decimalSign());
    }

    private static String digits(Matcher matcher) {
        return matcher.group(1) + matcher.group(2).replaceAll("[^0-9]", "");
    }
}
