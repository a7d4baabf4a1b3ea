package org.plantainwharf.sheet.csv;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import io.vavr.control.Either;

/**
 * The cells of one row, accessed by header. Each accessor parses a typed value; for an invalid cell it records a problem
 * and returns empty. Used by one thread.
 */
final class SheetRow {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern KEY_DIGEST = Pattern.compile("[0-9a-fA-F]{64}");
    private static final double MAXIMUM_NUMBER = 1e12;

    private final int number;
    private final Map<String, Integer> columns;
    private final List<String> cells;
    private final CsvVariant variant;
    private final List<SheetProblem> problems;

    private SheetRow(
            int number,
            Map<String, Integer> columns,
            List<String> cells,
            CsvVariant variant,
            List<SheetProblem> problems) {
        this.number = number;
        this.columns = columns;
        this.cells = cells;
        this.variant = variant;
        this.problems = problems;
    }

    /**
     * Returns a row.
     *
     * @param number row number as shown by spreadsheets, from 1
     * @param columns column index of each header, from 0
     * @param cells trimmed cells
     * @param problems list to which problems are added
     */
    static SheetRow create(
            int number,
            Map<String, Integer> columns,
            List<String> cells,
            CsvVariant variant,
            List<SheetProblem> problems) {
        return new SheetRow(number, columns, cells, variant, problems);
    }

    /** Returns the letters of a column as shown by spreadsheets; index 0 is {@code A}. */
    static String columnLetters(int index) {
        String last = String.valueOf((char) ('A' + index % 26));
        return index < 26 ? last : columnLetters(index / 26 - 1) + last;
    }

    int number() {
        return number;
    }

    /** Parses a name of 1 to 64 letters, digits, dots, hyphens or underscores. */
    Optional<String> name(String header) {
        return read(header, SheetRow::validateName);
    }

    /** Parses one or more distinct names separated by spaces. */
    Optional<Set<String>> names(String header) {
        return read(header, text -> {
            Set<String> names = new LinkedHashSet<>();
            for (String name : text.split("[ \\u00A0]+", -1)) {
                Either<String, String> checked = validateName(name);
                if (checked.isLeft()) {
                    return Either.left(checked.getLeft() + "; several are separated by blanks");
                }
                if (!names.add(name)) {
                    return Either.left(name + " is named twice");
                }
            }
            return Either.right(names);
        });
    }

    /** Parses an integer within inclusive bounds. */
    Optional<Long> integer(String header, long minimum, long maximum) {
        return read(header, text -> SpreadsheetNumber.parseInteger(text)
                .filterOrElse(
                        value -> value >= minimum && value <= maximum,
                        value -> "must be from " + minimum + " to " + maximum));
    }

    /** Parses a decimal number greater than 0 and at most 1e12. */
    Optional<Double> positive(String header) {
        return decimal(
                header, value -> value > 0 && value <= MAXIMUM_NUMBER, "must be greater than 0 and at most 1e12");
    }

    /** Parses a decimal number from 0 to 1e12. */
    Optional<Double> nonNegative(String header) {
        return decimal(header, value -> value >= 0 && value <= MAXIMUM_NUMBER, "must be from 0 to 1e12");
    }

    /** Parses a decimal number from 0 to 1. */
    Optional<Double> fraction(String header) {
        return decimal(header, value -> value >= 0 && value <= 1, "must be from 0 to 1");
    }

    /** Parses {@code yes}, {@code no}, {@code true} or {@code false} in any case. */
    Optional<Boolean> yesOrNo(String header) {
        return read(header, text -> switch (text.toLowerCase(Locale.ROOT)) {
            case "yes", "true" -> Either.right(true);
            case "no", "false" -> Either.right(false);
            default -> Either.left("must be yes or no");
        });
    }

    /** Parses a key digest. A problem does not include the text of the cell, since it may be a key pasted by mistake. */
    Optional<String> keyDigest(String header) {
        String text = cell(header);
        if (!KEY_DIGEST.matcher(text).matches()) {
            String shown = text.isEmpty() ? "" : "(withheld)";
            problems.add(new SheetProblem(
                    number,
                    columnLabel(header),
                    shown,
                    "must be the SHA-256 digest of the account's key, 64 hexadecimal digits; see: sheet key"));
            return Optional.empty();
        }
        return Optional.of(text.toLowerCase(Locale.ROOT));
    }

    /** Records a problem with one cell. */
    void addProblem(String header, String reason) {
        problems.add(new SheetProblem(number, columnLabel(header), cell(header), reason));
    }

    private Optional<Double> decimal(String header, Predicate<Double> allowed, String reason) {
        return read(
                header, text -> SpreadsheetNumber.parseDecimal(text, variant).filterOrElse(allowed, value -> reason));
    }

    private <T> Optional<T> read(String header, Function<String, Either<String, T>> reader) {
        String text = cell(header);
        if (text.isEmpty()) {
            addProblem(header, "must not be empty");
            return Optional.empty();
        }
        Either<String, T> value = reader.apply(text);
        if (value.isLeft()) {
            addProblem(header, value.getLeft());
            return Optional.empty();
        }
        return Optional.of(value.get());
    }

    private static Either<String, String> validateName(String text) {
        return NAME.matcher(text).matches()
                ? Either.right(text)
                : Either.left("must be 1 to 64 letters, digits, dots, hyphens or underscores, beginning with a letter"
                        + " or digit");
    }

    private String cell(String header) {
        Integer index = columns.get(header);
        return index == null || index >= cells.size() ? "" : cells.get(index);
    }

    private String columnLabel(String header) {
        Integer index = columns.get(header);
        return index == null ? header : columnLetters(index) + " (" + header + ")";
    }
}
