package org.plantainwharf.cli;

import java.util.ArrayList;
import java.util.List;

/** Lines up rows of text in columns. Used by one thread. */
final class TextTable {
    private final List<List<String>> rows = new ArrayList<>();

    private TextTable() {}

    /** Returns a table with its header. */
    static TextTable withHeader(String... cells) {
        TextTable table = new TextTable();
        table.add(cells);
        return table;
    }

    /** Adds a row with as many cells as the header. */
    void add(String... cells) {
        rows.add(List.of(cells));
    }

    /** Returns the rows, each indented by two blanks and ended by a line end. */
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
