package org.plantainwharf.cli;

import java.io.InputStream;
import java.io.PrintStream;

/** The standard streams that a subcommand uses; tests substitute their own. Used by one thread. */
public record Console(InputStream input, PrintStream output, PrintStream errors) {
    /** Returns the standard streams of this process. */
    public static Console ofProcess() {
        return new Console(System.in, System.out, System.err);
    }
}
