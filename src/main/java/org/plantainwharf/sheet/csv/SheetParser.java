package org.plantainwharf.sheet.csv;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.plantainwharf.sheet.Sheet;

/**
 * Parses a sheet from a CSV file that planners export from a spreadsheet. A file is accepted or rejected as a whole; on
 * rejection, every invalid cell is reported. Stateless; thread-safe.
 *
 * <p>Layout: first a row {@code version;NUMBER}, then the sections of {@link SheetSection}, in any order. A section begins
 * with its title in the first cell, followed by a row of headers and the data rows. Empty rows and trailing empty cells
 * are ignored.
 */
public final class SheetParser {
    private static final char BYTE_ORDER_MARK = '\uFEFF';

    private SheetParser() {}

    /**
     * Parses the content of a file: UTF-8 with or without byte order mark, with any line separators. Returns the sheet, or
     * all problems found.
     */
    public static Either<SheetProblems, Sheet> parse(byte[] bytes) {
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            return reject(new SheetProblem(0, "", "", "not UTF-8 text: export the sheet as \"CSV UTF-8\""));
        }
        if (!text.isEmpty() && text.charAt(0) == BYTE_ORDER_MARK) {
            text = text.substring(1);
        }
        CsvVariant variant = CsvVariant.detect(text);
        SheetBuilder builder = SheetBuilder.create(variant);
        CSVFormat format = CSVFormat.DEFAULT
                .builder()
                .setDelimiter(variant.separator())
                .setIgnoreEmptyLines(false)
                .get();
        int row = 0;
        try (CSVParser parser = CSVParser.parse(new StringReader(text), format)) {
            for (CSVRecord record : parser) {
                row++;
                builder.add(row, cells(record));
            }
        } catch (UncheckedIOException | IOException e) {
            return reject(new SheetProblem(row + 1, "", "", "quotes are not closed or not followed by a separator"));
        }
        return builder.build();
    }

    private static List<String> cells(CSVRecord record) {
        List<String> cells = new ArrayList<>(record.size());
        for (String cell : record) {
            cells.add(cell.replace('\u00A0', ' ').replace('\u202F', ' ').strip());
        }
        while (!cells.isEmpty() && cells.get(cells.size() - 1).isEmpty()) {
            cells.remove(cells.size() - 1);
        }
        return cells;
    }

    private static Either<SheetProblems, Sheet> reject(SheetProblem problem) {
        return Either.left(new SheetProblems(List.of(problem)));
    }
}
