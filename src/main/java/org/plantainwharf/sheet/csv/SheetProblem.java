package org.plantainwharf.sheet.csv;

/**
 * A validation error in a sheet file. Immutable.
 *
 * @param row row number as shown by spreadsheets, from 1; 0 for the whole file
 * @param column letters and header of the column, for example {@code C (weight)}; empty for the whole row
 * @param value text of the cell; empty if it is missing; replaced by a placeholder if it may contain an account key
 * @param reason description of the error and of the allowed values
 */
public record SheetProblem(int row, String column, String value, String reason) {
    @Override
    public String toString() {
        String place = row == 0 ? "file" : "row " + row;
        return place + (column.isEmpty() ? "" : ", column " + column) + ": \"" + value + "\": " + reason;
    }
}
