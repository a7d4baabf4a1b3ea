package org.plantainwharf.settings;

import java.util.List;
import java.util.stream.Collectors;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/** All problems in one settings file; never empty. Immutable. */
public record SettingsProblems(List<SettingsProblem> problems) {
    /** Copies the list. */
    public SettingsProblems {
        problems = List.copyOf(problems);
        if (problems.isEmpty()) {
            throw new IllegalArgumentException("problems must not be empty");
        }
    }

    /** Returns a list of one problem. */
    public static SettingsProblems of(String path, String value, String allowed) {
        return new SettingsProblems(List.of(new SettingsProblem(path, value, allowed)));
    }

    /** Returns the problems, one per line. */
    public String text() {
        return problems.stream().map(SettingsProblem::toString).collect(Collectors.joining("\n"));
    }

    /** Returns these problems as one failure. */
    public Failure toFailure() {
        return Failure.of(ErrorKind.SETTINGS_INVALID, text().replace("\n", " | "));
    }
}
