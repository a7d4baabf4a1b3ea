package org.plantainwharf.cli;

/** Exit status of the process. Immutable. */
public enum ExitCode {
    /** The subcommand succeeded. */
    OK(0),
    /** The subcommand failed, or a check found a problem. */
    FAILED(1),
    /** The command line is invalid. */
    USAGE(2);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /** Returns the exit code for a status; any unknown status maps to {@link #FAILED}. */
    static ExitCode of(int status) {
        return status == OK.status ? OK : status == USAGE.status ? USAGE : FAILED;
    }

    /** Returns the numeric status passed to the operating system. */
    public int status() {
        return status;
    }
}
