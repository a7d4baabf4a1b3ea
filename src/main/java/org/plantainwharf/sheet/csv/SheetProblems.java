package org.plantainwharf.sheet.csv;

import java.util.List;
import java.util.stream.Collectors;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/** All validation errors of one sheet file, in order of row; never empty. Immutable. */
public record SheetProblems(List<SheetProblem> problems) {
    /** Copies the list. */
    public SheetProblems {
        problems = List.copyOf(problems);
        if (problems.isEmpty()) {
            throw new IllegalArgumentException("problems must not be empty");
        }
    }

    /** Returns the problems, one per line. */
    public String text() {
        return problems.stream().map(SheetProblem::toString).collect(Collectors.joining("\n"));
    }

    /** Returns a single {@link ErrorKind#SHEET_INVALID} failure whose message lists all problems. */
    public Failure toFailure() {
        return Failure.of(ErrorKind.SHEET_INVALID, text().replace("\n", " | "));
    }
}
