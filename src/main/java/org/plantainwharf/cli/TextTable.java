package org.plantainwharf.cli;

import java.util.ArrayList;
import java.util.List;

/** A text table with aligned columns. Used by one thread. */
final class TextTable {
    private final List<List<String>> rows = new ArrayList<>();

    private TextTable() {}

    /** Returns a table that contains only the header row. */
    static TextTable withHeader(String... cells) {
        TextTable table = new TextTable();
        table.add(cells);
        return table;
    }

    /** Adds a row, which must have as many cells as the header. */
    void add(String... cells) {
        rows.add(List.of(cells));
    }

    /** Formats the header and all rows, one per line, each indented by two spaces and terminated by a newline. */
    String format() {
        int columns = rows.get(0).size();
        int[] widths = new int[columns];
        for (List<String> row : rows) {
            for (int column = 0; column < columns; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < columns; column++) {
                String cell = row.get(column);
                line.append("  ").append(cell).append(" ".repeat(widths[column] - cell.length()));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
