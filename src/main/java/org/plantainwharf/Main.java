package org.plantainwharf;

import org.plantainwharf.cli.Console;
import org.plantainwharf.cli.HangupSignal;
import org.plantainwharf.cli.SubcommandRunner;

/** Entry point of the executable. */
public final class Main {
    private Main() {}

    /** Runs a subcommand and exits with its status. */
    public static void main(String[] arguments) {
        HangupSignal.install();
        System.exit(SubcommandRunner.run(Console.ofProcess(), arguments).status());
    }
}
