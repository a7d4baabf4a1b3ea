package org.plantainwharf.cli;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The subcommands, each with its words, synopsis and description for the help text. Immutable. */
enum SubcommandName {
    SERVE("serve", "--settings FILE", "run a daemon until SIGTERM, then stop gracefully"),
    SETTINGS_CHECK("settings check", "FILE...", "validate settings files"),
    SHEET_CHECK("sheet check", "FILE...", "validate sheet files"),
    SHEET_DIFF(
            "sheet diff",
            "[--operator ADDRESS | BEFORE] AFTER",
            "compare a sheet file with the sheet in force or with another file"),
    SHEET_APPLY("sheet apply", "--operator ADDRESS FILE", "put a sheet in force"),
    SHEET_SHOW("sheet show", "--operator ADDRESS [--json]", "show the sheet in force"),
    SHEET_KEY("sheet key", "", "read an account key from standard input and print its digest for the sheet"),
    STATUS("status", "--operator ADDRESS [--json]", "show daemons, backend servers, refusals and retries"),
    DRAIN("drain", "--operator ADDRESS", "drain one daemon for a planned stop"),
    ROLLOUT_BEGIN(
            "rollout begin",
            "--operator ADDRESS --service S --target V --duration SECONDS",
            "order that a service be moved to a software version under watch"),
    ROLLOUT_SHOW("rollout show", "--operator ADDRESS --service S [--json]", "show the newest rollout of a service"),
    PLATFORM_SERVE(
            "platform serve",
            "[--settings FILE]",
            "run a daemon on the users' platform until SIGTERM; the role comes from its settings"),
    PLATFORM_CHECK("platform check", "FILE", "validate a settings file of the platform and print its interpretation"),
    CONFIG_CHECK(
            "config check",
            "[--operator ADDRESS | --against FILE] [--strict] FILE",
            "check a service document before it is sent, and compare it with the version in force"),
    LOG_TRACE(
            "log trace",
            "FILE... [--request ID | --rollout SERVICE]",
            "print the events of a request or of rollouts, or the number of lines for each event and error kind"),
    VERSION("version", "", "print the version"),
    STAND_IN_ENGINE("stand-in-engine", "OPTION...", "run a stand-in for a model engine"),
    STAND_IN_SERVICE("stand-in-service", "OPTION...", "run a stand-in for a plain service");

    private final String words;
    private final String synopsis;
    private final String description;

    SubcommandName(String words, String synopsis, String description) {
        this.words = words;
        this.synopsis = synopsis;
        this.description = description;
    }

    /** Returns the subcommand whose words are the first arguments, or empty if there is none. */
    static Optional<SubcommandName> of(List<String> arguments) {
        return Arrays.stream(values())
                .filter(name -> arguments.size() >= name.wordCount()
                        && arguments.subList(0, name.wordCount()).equals(name.wordList()))
                .findFirst();
    }

    /** Returns whether the overview omits this subcommand: the stand-ins are only for scripts and tests. */
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
                    ROLLOUT_BEGIN,
                    ROLLOUT_SHOW,
                    PLATFORM_SERVE,
                    PLATFORM_CHECK,
                    CONFIG_CHECK,
                    LOG_TRACE,
                    VERSION -> false;
        };
    }

    /** Returns the number of leading arguments that form the name. */
    int wordCount() {
        return wordList().size();
    }

    /** Returns the usage of the whole command line. */
    String usage() {
        return ("plantainwharf " + words + " " + synopsis).strip();
    }

    /** Returns a one-line description. */
    String description() {
        return description;
    }

    private List<String> wordList() {
        return List.of(words.split(" "));
    }
}
