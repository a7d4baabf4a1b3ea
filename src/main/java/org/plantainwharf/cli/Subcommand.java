package org.plantainwharf.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** A parsed command line. Immutable. */
public sealed interface Subcommand {
    /** Runs a daemon until it is stopped. */
    record Serve(Path settings) implements Subcommand {}

    /** Validates settings files. */
    record SettingsCheck(List<Path> files) implements Subcommand {
        /** Copies the list. */
        public SettingsCheck {
            files = List.copyOf(files);
        }
    }

    /** Validates sheet files. */
    record SheetCheck(List<Path> files) implements Subcommand {
        /** Copies the list. */
        public SheetCheck {
            files = List.copyOf(files);
        }
    }

    /** Compares two sheet files. */
    record SheetDiff(Path before, Path after) implements Subcommand {}

    /** Compares the sheet in force with a sheet file. */
    record SheetDiffInForce(OperatorTarget target, Path after) implements Subcommand {}

    /** Puts a sheet in force. */
    record SheetApply(OperatorTarget target, Path file) implements Subcommand {}

    /** Prints the sheet in force. */
    record SheetShow(OperatorTarget target, boolean json) implements Subcommand {}

    /** Prints the digest of an account key from standard input. */
    record SheetKey() implements Subcommand {}

    /** Prints the status of the system as observed by one daemon. */
    record Status(OperatorTarget target, boolean json) implements Subcommand {}

    /** Starts draining a daemon for a planned stop. */
    record Drain(OperatorTarget target) implements Subcommand {}

    /** Orders a rollout from a control daemon. */
    record RolloutBegin(OperatorTarget.Address target, String service, String version, double durationSeconds)
            implements Subcommand {}

    /** Prints the newest rollout of a service, as a control daemon reads it from the log. */
    record RolloutShow(OperatorTarget.Address target, String service, boolean json) implements Subcommand {}

    /** Runs a daemon on the users' platform. */
    record PlatformServe(Path settings) implements Subcommand {}

    /** Validates a settings file of the users' platform. */
    record PlatformCheck(Path file) implements Subcommand {}

    /**
     * Checks a service document before it is sent.
     *
     * @param reference what the document is compared with
     * @param strict whether findings fail the check, as errors do
     */
    record ConfigCheck(Path file, Reference reference, boolean strict) implements Subcommand {
        /** Source of the version in force. */
        public sealed interface Reference {
            /** The document is not compared. */
            record None() implements Reference {}

            /** A file with the version in force. */
            record InFile(Path file) implements Reference {}

            /** The running system. */
            record InForce(OperatorTarget.Address target) implements Reference {}
        }
    }

    /**
     * Prints the log lines of one request, or those of the rollouts of a service, or without either the number of lines for
     * each event and error kind.
     */
    record LogTrace(List<Path> files, Optional<String> request, Optional<String> service) implements Subcommand {
        /** Copies the list. */
        public LogTrace {
            files = List.copyOf(files);
        }
    }

    /** Prints the version. */
    record Version() implements Subcommand {}

    /** Runs a stand-in for a model engine; used by scripts and tests. */
    record StandInEngine(List<String> arguments) implements Subcommand {
        /** Copies the list. */
        public StandInEngine {
            arguments = List.copyOf(arguments);
        }
    }

    /** Runs a stand-in for a plain service; used by scripts and tests. */
    record StandInService(List<String> arguments) implements Subcommand {
        /** Copies the list. */
        public StandInService {
            arguments = List.copyOf(arguments);
        }
    }

    /** Prints a help text. */
    record Help(String text) implements Subcommand {}
}
