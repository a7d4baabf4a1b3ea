package org.plantainwharf.cli;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.plantainwharf.difference.RowChange;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.SheetDifference;

/** Formats sheets and their differences as human-readable text. Stateless; thread-safe. */
final class SheetFormatter {
    private SheetFormatter() {}

    /** Formats a sheet given as JSON; each array of objects becomes a table. */
    static String format(JsonNode sheet) {
        StringBuilder text = new StringBuilder("Sheet version ")
                .append(sheet.path("version").asText())
                .append(", digest ")
                .append(sheet.path("digest").asText())
                .append('\n');
        sheet.fields().forEachRemaining(section -> {
            if (section.getValue().isArray()) {
                text.append('\n')
                        .append(section.getKey())
                        .append(": ")
                        .append(section.getValue().size())
                        .append('\n');
                text.append(table(section.getValue()));
            }
        });
        return text.toString();
    }

    /** Formats a difference between two sheets, one change per line. */
    static String format(SheetDifference difference) {
        return format(difference.versionBefore(), difference.versionAfter(), difference.changes());
    }

    /** Formats the changes between two versions of a configuration, one change per line. */
    static String format(long versionBefore, long versionAfter, List<RowChange> changes) {
        StringBuilder text = new StringBuilder("version ")
                .append(versionBefore)
                .append(" -> ")
                .append(versionAfter)
                .append(changes.isEmpty() ? ": no changes in content\n" : "\n");
        for (RowChange change : changes) {
            text.append(
                            switch (change) {
                                case RowChange.Added added -> "added   " + added.subject() + ": " + added.value();
                                case RowChange.Removed removed ->
                                    "removed " + removed.subject() + ": " + removed.value();
                                case RowChange.Changed changed ->
                                    "changed " + changed.subject() + ": " + changed.field() + " " + changed.before()
                                            + " -> " + changed.after();
                            })
                    .append('\n');
        }
        return text.toString();
    }

    /**
     * Formats the changes from the sheet in force. Its key digests are unknown, so changed keys are detected by comparing
     * the digests of the whole contents.
     */
    static String formatChangesFromInForce(Sheet inForce, Sheet after) {
        SheetDifference difference = SheetDifference.between(inForce, after);
        if (difference.isEmpty() && !inForce.digest().equals(after.digest())) {
            return "version " + inForce.version() + " -> " + after.version()
                    + "\nthe key of at least one account changed; no other changes\n";
        }
        return format(difference);
    }

    private static String table(JsonNode rows) {
        if (rows.isEmpty()) {
            return "";
        }
        List<String> headers = new ArrayList<>();
        rows.get(0).fieldNames().forEachRemaining(headers::add);
        TextTable table = TextTable.withHeader(
                headers.stream().map(header -> header.replace('_', ' ')).toArray(String[]::new));
        for (JsonNode row : rows) {
            table.add(headers.stream().map(header -> cell(row.path(header))).toArray(String[]::new));
        }
        return table.format();
    }

    private static String cell(JsonNode value) {
        if (!value.isArray()) {
            return value.asText();
        }
        List<String> texts = new ArrayList<>();
        value.forEach(element -> texts.add(element.asText()));
        return String.join(" ", texts);
    }
}
