package org.plantainwharf.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Every subcommand with its words and its line in the help. Immutable. */
enum SubcommandName {
    SERVE("serve", "--settings FILE", "run a daemon until SIGTERM, then stop gracefully"),
    SETTINGS_CHECK("settings check", "FILE...", "check settings files"),
    SHEET_CHECK("sheet check", "FILE...", "check sheet files"),
    SHEET_DIFF(
            "sheet diff",
            "[--operator ADDRESS | BEFORE] AFTER",
            "show what differs from the sheet in force or from a file"),
    SHEET_APPLY("sheet apply", "--operator ADDRESS FILE", "put a sheet in force"),
    SHEET_SHOW("sheet show", "--operator ADDRESS [--json]", "show the sheet in force"),
    SHEET_KEY("sheet key", "", "read an account key from standard input and print its digest for the sheet"),
    STATUS("status", "--operator ADDRESS [--json]", "show daemons, backend servers, refusals and retries"),
    DRAIN("drain", "--operator ADDRESS", "start a planned stop of one daemon"),
    PLATFORM_SERVE(
            "platform serve",
            "[--settings FILE]",
            "run a daemon on the users' platform until SIGTERM; the role comes from its settings"),
    PLATFORM_CHECK("platform check", "FILE", "check a settings file of the platform and show what it means"),
    LOG_TRACE("log trace", "FILE... [--request ID]", "show what happened to a request, or how often each reason came"),
    VERSION("version", "", "print the version"),
    STAND_IN_ENGINE("stand-in-engine", "OPTION...", "run a stand-in of a model engine"),
    STAND_IN_SERVICE("stand-in-service", "OPTION...", "run a stand-in of a plain service");

    private final String words;
    private final String synopsis;
    private final String description;

    SubcommandName(String words, String synopsis, String description) {
        this.words = words;
        this.synopsis = synopsis;
        this.description = description;
    }

    /** Returns the subcommand whose words begin the arguments. */
    static Optional<SubcommandName> of(List<String> arguments) {
        return Arrays.stream(values())
                .filter(name -> arguments.size() >= name.wordCount()
                        && arguments.subList(0, name.wordCount()).equals(name.wordList()))
                .findFirst();
    }

    /** Says whether the overview leaves it out: the stand-ins are for scripts and tests. */
    boolean hidden() {
        return switch (this) {
            case STAND_IN_ENGINE, STAND_IN_SERVICE -> true;
            case SERVE,
                    SETTINGS_CHECK,
                    SHEET_CHECK,
                    SHEET_DIFF,
                    SHEET_APPLY,
                    SHEET_SHOW,
                    SHEET_KEY,
                    STATUS,
                    DRAIN,
                    PLATFORM_SERVE,
                    PLATFORM_CHECK,
                    LOG_TRACE,
                    VERSION -> false;
        };
    }

    /** Returns the number of arguments that the name takes. */
    int wordCount() {
        return wordList().size();
    }

    /** Returns the form of the whole command line. */
    String usage() {
        return ("plantainwharf " + words + " " + synopsis).strip();
    }

    /** Returns what it does, on one line. */
    String description() {
        return description;
    }

    private List<String> wordList() {
        return List.of(words.split(" "));
    }
}
