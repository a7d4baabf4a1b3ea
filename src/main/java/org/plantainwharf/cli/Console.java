package org.plantainwharf.cli;

import java.io.InputStream;
import java.io.PrintStream;

/** The standard streams of a subcommand, replaced in tests. Used by one thread. */
public record Console(InputStream input, PrintStream output, PrintStream errors) {
    /** Returns the streams of the process. */
    public static Console ofProcess() {
        return new Console(System.in, System.out, System.err);
    }
}
