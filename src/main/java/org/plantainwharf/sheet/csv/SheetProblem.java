package org.plantainwharf.sheet.csv;

/**
 * One thing that is wrong with a sheet file. Immutable.
 *
 * @param row row as spreadsheets number it, from 1; 0 for the whole file
 * @param column letter and header, for example {@code C (weight)}; empty for the whole row
 * @param value the cell as written; empty for a missing one; withheld for cells that should hold a key digest
 * @param reason what is wrong and what is allowed
 */
public record SheetProblem(int row, String column, String value, String reason) {
    @Override
    public String toString() {
        String place = row == 0 ? "file" : "row " + row;
        return place + (column.isEmpty() ? "" : ", column " + column) + ": \"" + value + "\": " + reason;
    }
}
