package org.plantainwharf.sheet.csv;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.sheet.Sheet;

/**
 * Writes a sheet as CSV with rows sorted by their first two columns. {@link SheetParser} parses the output into an equal
 * sheet. Stateless; thread-safe.
 */
public final class SheetWriter {
    private SheetWriter() {}

    /** Returns UTF-8 text without byte order mark and with CRLF line separators. */
    public static byte[] write(Sheet sheet, CsvVariant variant) {
        CSVFormat format =
                CSVFormat.DEFAULT.builder().setDelimiter(variant.separator()).get();
        StringWriter text = new StringWriter();
        try (CSVPrinter printer = new CSVPrinter(text, format)) {
            printer.printRecord("version", sheet.version());
            for (SheetSection section : SheetSection.all()) {
                printer.println();
                printer.printRecord(section.title());
                printer.printRecord(section.headers());
                printer.printRecords(rows(section, sheet, variant));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static List<List<Object>> rows(SheetSection section, Sheet sheet, CsvVariant variant) {
        List<List<Object>> rows = new ArrayList<>();
        switch (section) {
            case SheetSection.Accounts accounts ->
                sheet.accounts()
                        .values()
                        .forEach(account -> rows.add(List.of(
                                account.name(),
                                account.keyDigest(),
                                SpreadsheetNumber.format(account.weight(), variant),
                                SpreadsheetNumber.format(account.requestsPerSecond(), variant),
                                account.ranks().stream()
                                        .map(RankName::value)
                                        .sorted()
                                        .collect(Collectors.joining(" ")))));
            case SheetSection.Ranks ranks ->
                sheet.ranks()
                        .values()
                        .forEach(rank -> rows.add(List.of(
                                rank.name(),
                                rank.latencyTargetMillis(),
                                rank.deadlineMillis(),
                                SpreadsheetNumber.format(rank.worth(), variant),
                                SpreadsheetNumber.format(rank.floorShare(), variant))));
            case SheetSection.Routes routes ->
                sheet.routes()
                        .values()
                        .forEach(route ->
                                rows.add(List.of(route.name(), route.rank(), route.repeatable() ? "yes" : "no")));
            case SheetSection.Budgets budgets ->
                sheet.budgets()
                        .forEach(budget -> rows.add(List.of(
                                budget.zone(),
                                budget.hostClass(),
                                SpreadsheetNumber.format(budget.pricePerHour(), variant),
                                SpreadsheetNumber.format(budget.maximumPerHour(), variant),
                                budget.reclaimable() ? "yes" : "no")));
        }
        rows.sort(Comparator.comparing(row -> row.get(0) + "/" + row.get(1)));
        return rows;
    }
}
