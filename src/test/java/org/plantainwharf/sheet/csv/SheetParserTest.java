package org.plantainwharf.sheet.csv;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.SheetDigest;

import static java.util.Objects.requireNonNull;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against sheets that are parsed differently depending on the spreadsheet's locale, and against invalid sheets that
 * are accepted or reported imprecisely. Each row of the table of invalid cells replaces one piece of a valid sheet and
 * states the problem that must be reported.
 */
class SheetParserTest {
    private static final String FLOOR_KEY = SheetDigest.ofKey("floor-key");
    private static final String BULK_KEY = SheetDigest.ofKey("bulk-key");
    private static final String VALID = """
            version;7
            [accounts]
            name;key digest;weight;requests per second;ranks
            floor;FLOOR_KEY;1,5;20;stock order
            bulk;BULK_KEY;4;1 200,5;long
            [ranks]
            name;latency target ms;deadline ms;worth;floor share
            stock;300;1 500;10;0,2
            order;2000;10000;5;0,3
            long;60000;3600000;1;0,1
            [routes]
            name;rank;repeatable
            supplier-order;order;no
            stock-lookup;stock;yes
            [budgets]
            zone;host class;price per hour;maximum per hour;reclaimable
            a;small;0,125;12;yes
            b;small;0,5;1 000;no
            """.replace("FLOOR_KEY", FLOOR_KEY).replace("BULK_KEY", BULK_KEY);

    private static Either<SheetProblems, Sheet> parse(String text) {
        return SheetParser.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Sheet sheet(String text) {
        Either<SheetProblems, Sheet> result = parse(text);
        assertTrue(result.isRight(), () -> result.getLeft().text());
        return result.get();
    }

    private static List<SheetProblem> problemsOf(String text) {
        Either<SheetProblems, Sheet> result = parse(text);
        assertTrue(result.isLeft(), () -> "accepted: " + text);
        return result.getLeft().problems();
    }

    private static String change(String from, String to) {
        int place = VALID.indexOf(from);
        assertTrue(place >= 0, from);
        return VALID.substring(0, place) + to + VALID.substring(place + from.length());
    }

    @Nested
    class ValidSheet {
        @Test
        void isParsedWithAllValues() {
            Sheet sheet = sheet(VALID);
            assertEquals(7, sheet.version());
            assertEquals(
                    1200.5,
                    requireNonNull(sheet.accounts().get(AccountName.of("bulk"))).requestsPerSecond());
            assertEquals(
                    1500,
                    requireNonNull(sheet.ranks().get(RankName.of("stock"))).deadlineMillis());
            assertFalse(requireNonNull(sheet.routes().get(RouteName.of("supplier-order")))
                    .repeatable());
            assertEquals(0.125, sheet.budgets().get(0).pricePerHour());
            assertTrue(sheet.budgets().get(0).reclaimable());
            assertEquals(SheetDigest.of(sheet), sheet.digest());
        }

        @Test
        void mayHaveAnAccountNamedVersion() {
            assertTrue(sheet(VALID.replace("bulk;", "version;")).accounts().containsKey(AccountName.of("version")));
        }
    }

    /** Guards against exports of some spreadsheet or locale that are refused or read differently. */
    @Nested
    class Export {
        @Test
        void withByteOrderMarkAndCrlfIsTheSame() {
            assertEquals(sheet(VALID), sheet("\uFEFF" + VALID.replace("\n", "\r\n")));
        }

        @Test
        void withLoneCarriageReturnsIsTheSame() {
            assertEquals(sheet(VALID), sheet(VALID.replace("\n", "\r")));
        }

        @Test
        void withCommasAndDecimalPointsIsTheSame() {
            assertEquals(sheet(VALID), sheet(VALID.replace(',', '.').replace(';', ',')));
        }

        @Test
        void withCommasAndQuotedDecimalCommasIsTheSame() {
            String quoted = VALID.replaceAll("(\\d[\\d ]*,\\d+)", "\"$1\"").replace(';', ',');
            // A quoted 0,125 is not ambiguous, since a group of thousands never begins with 0.
            assertEquals(sheet(VALID), sheet(quoted));
        }

        @Test
        void withSemicolonsAndDecimalPointsIsTheSame() {
            assertEquals(sheet(VALID), sheet(VALID.replace(',', '.')));
        }

        @Test
        void withQuotedCellsIsTheSame() {
            assertEquals(sheet(VALID), sheet(VALID.replaceAll("([^;\\n]+)", "\"$1\"")));
        }

        @Test
        void withBlankRowsAndColumnsIsTheSame() {
            assertEquals(sheet(VALID), sheet("\n;;;;\n" + VALID.replace("\n", ";;;;;;\n;;;;;;\n") + ";;;\n\n\n"));
        }

        @Test
        void withNoBreakBlanksAsThousandsIsTheSame() {
            assertEquals(
                    sheet(VALID), sheet(VALID.replace("1 200", "1\u00A0200").replace("1 000", "1\u202F000")));
        }

        @Test
        void withHeadersInAnyCaseAndOrderIsTheSame() {
            String reordered = VALID.replace("name;rank;repeatable", "REPEATABLE;Name;Rank")
                    .replace("supplier-order;order;no", "no;supplier-order;order")
                    .replace("stock-lookup;stock;yes", "YES;stock-lookup;stock");
            assertEquals(sheet(VALID), sheet(reordered.replace("[ranks]", "[Ranks]")));
        }

        @Test
        void withoutLineEndAtTheEndIsTheSame() {
            assertEquals(sheet(VALID), sheet(VALID.stripTrailing()));
        }
    }

    @Nested
    class InvalidSheet {
        /** Guards against an invalid cell that is accepted, or reported without row, column, value and reason. */
        @ParameterizedTest
        @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
                # from              | to                    | row | column                  | value        | reason contains
                floor;              | fl oor;               | 4   | A (name)                | fl oor       | letters, digits
                floor;              | ;                     | 4   | A (name)                | ``           | must not be empty
                bulk;               | floor;                | 5   | A (name)                | floor        | appears twice
                1,5;20              | 0;20                  | 4   | C (weight)              | 0            | greater than 0
                1,5;20              | -1;20                 | 4   | C (weight)              | -1           | greater than 0
                1,5;20              | 1.200;20              | 4   | C (weight)              | 1.200        | ambiguous
                1,5;20              | 1,5;2.000,5           | 4   | D (requests per second) | 2.000,5      | not a number
                1,5;20              | 1,5;12 00             | 4   | D (requests per second) | 12 00        | not a number
                1,5;20              | 1,5;1e3               | 4   | D (requests per second) | 1e3          | not a number
                1,5;20              | 1,5;NaN               | 4   | D (requests per second) | NaN          | not a number
                1,5;20              | 1,5;                  | 4   | D (requests per second) | ``           | must not be empty
                stock order         | stock ordr            | 4   | E (ranks)               | stock ordr   | rank ordr is not in section
                stock order         | stock stock           | 4   | E (ranks)               | stock stock  | named twice
                stock order         | stock,order           | 4   | E (ranks)               | stock,order  | separated by blanks
                stock order         | stock order;x         | 4   | F                       | (withheld)   | has no header
                stock;300           | stock;300,5           | 8   | B (latency target ms)   | 300,5        | whole number
                stock;300           | stock;0               | 8   | B (latency target ms)   | 0            | from 1 to
                stock;300           | stock;1.500           | 8   | B (latency target ms)   | 1.500        | whole number
                1 500;10            | 200;10                | 8   | C (deadline ms)         | 200          | less than the latency target of 300
                10;0,2              | 10;1,2                | 8   | E (floor share)         | 1,2          | from 0 to 1
                5;0,3               | 5;0,8                 | 10  | E (floor share)         | 0,1          | sum to 1
                order;2000          | stock;2000            | 9   | A (name)                | stock        | rank appears twice
                order;no            | ordr;no               | 13  | B (rank)                | ordr         | rank ordr is not in section
                order;no            | order;maybe           | 13  | C (repeatable)          | maybe        | yes or no
                stock-lookup        | supplier-order        | 14  | A (name)                | supplier-order| appears twice
                b;small             | a;small               | 18  | B (host class)          | small        | appears twice
                0,5;1 000           | -0,5;1 000            | 18  | C (price per hour)      | -0,5         | from 0 to
                version;7           | version;0             | 1   | B (version)             | 0            | from 1 to
                version;7           | version;seven         | 1   | B (version)             | seven        | not a number
                version;7           | version;7;x           | 1   | C                       | x            | must be blank
                version;7           | version;              | 1   | B (version)             | ``           | must not be empty
                [budgets]           | [budget]              | 15  | A                       | [budget]     | unknown section
                [budgets]           | [routes]              | 15  | A                       | [routes]     | section appears twice
                worth;floor         | wort;floor            | 7   | D                       | wort         | unknown header
                worth;floor         | worth;worth;floor     | 7   | E                       | worth        | header appears twice
                version;7           | title;7               | 1   | A                       | title        | expected the row version
                """)
        void isRejectedWithRowColumnValueAndReason(
                String from, String to, int row, String column, String value, String reason) {
            List<SheetProblem> problems = problemsOf(change(from, to));
            assertTrue(
                    problems.stream()
                            .anyMatch(problem -> problem.row() == row
                                    && problem.column().equals(column)
                                    && problem.value().equals(value)
                                    && problem.reason().contains(reason)),
                    problems::toString);
        }

        @Test
        void reportsAllInvalidCells() {
            String text = VALID.replace("1,5;20", "x;y").replace("0,125", "z").replace("order;no", "order;2");
            assertEquals(
                    List.of("4 C (weight)", "4 D (requests per second)", "13 C (repeatable)", "17 C (price per hour)"),
                    problemsOf(text).stream()
                            .map(problem -> problem.row() + " " + problem.column())
                            .toList());
        }

        @Test
        void reportsOneProblemForOneInvalidCell() {
            assertEquals(1, problemsOf(change("1,5;20", "1,5;many")).size());
        }

        @Test
        void doesNotShowAKeyPastedInPlaceOfItsDigest() {
            List<SheetProblem> problems = problemsOf(change(FLOOR_KEY, "secret-floor-key"));
            assertEquals("B (key digest)", problems.get(0).column());
            assertFalse(problems.toString().contains("secret-floor-key"));
        }

        @Test
        void isRejectedWhenTwoAccountsShareAKey() {
            assertTrue(problemsOf(change(BULK_KEY, FLOOR_KEY)).get(0).reason().contains("account floor has the same"));
        }

        @ParameterizedTest
        @CsvSource({"[accounts]", "[ranks]", "[routes]", "[budgets]"})
        void isRejectedWithoutASection(String title) {
            int start = VALID.indexOf(title);
            int end = VALID.indexOf("[", start + 1);
            String text = VALID.substring(0, start) + (end < 0 ? "" : VALID.substring(end));
            assertTrue(problemsOf(text).toString().contains("has no section " + title));
        }

        @Test
        void isRejectedWithAnUnclosedQuote() {
            assertTrue(problemsOf(change("bulk;", "\"bulk;")).get(0).reason().contains("quotes"));
        }

        @Test
        void isRejectedInAnotherEncoding() {
            byte[] bytes =
                    VALID.replace("floor;", "piętro;").getBytes(java.nio.charset.Charset.forName("windows-1250"));
            assertTrue(SheetParser.parse(bytes).getLeft().text().contains("UTF-8"));
        }

        @ParameterizedTest
        @CsvSource({"''", "';;;'", "'version;1'"})
        void isRejectedWhenEmpty(String text) {
            assertTrue(problemsOf(text).size() >= 4);
        }

        @Test
        void mapsToOneSheetInvalidFailure() {
            assertEquals(
                    ErrorKind.SHEET_INVALID, parse("").getLeft().toFailure().kind());
        }
    }

    @Nested
    class Digest {
        @Test
        void doesNotDependOnTheOrderOfRowsOrTheVersion() {
            String swapped = VALID.replace("version;7", "version;8")
                    .replace("stock order\n", "order stock\n")
                    .replace(
                            "supplier-order;order;no\nstock-lookup;stock;yes",
                            "stock-lookup;stock;yes\nsupplier-order;order;no");
            assertEquals(sheet(VALID).digest(), sheet(swapped).digest());
        }

        @ParameterizedTest
        @CsvSource(delimiter = '|', textBlock = """
                1,5;20   | 1,6;20
                order;no | order;yes
                0,125    | 0,1251
                stock;300| stock;301
                stock order | stock
                """)
        void changesWithEveryValue(String from, String to) {
            assertNotEquals(sheet(VALID).digest(), sheet(change(from, to)).digest());
        }
    }
}
