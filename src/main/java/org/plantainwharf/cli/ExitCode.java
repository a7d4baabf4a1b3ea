package org.plantainwharf.cli;

/** Status with which the process exits. Immutable. */
public enum ExitCode {
    /** The subcommand did what it was asked for. */
    OK(0),
    /** It could not, or a check found a problem. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2);

    private final int status;

    ExitCode(int status) {
        this.status = status;
    }

    /** Returns the code with this number; any unknown number is a failure. */
    static ExitCode of(int status) {
        return status == OK.status ? OK : status == USAGE.status ? USAGE : FAILED;
    }

    /** Returns the number for the shell. */
    public int status() {
        return status;
    }
}
