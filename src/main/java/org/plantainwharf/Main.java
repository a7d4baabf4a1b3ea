package org.plantainwharf;

import java.util.Set;

import org.plantainwharf.cli.Console;
import org.plantainwharf.cli.HangupSignal;
import org.plantainwharf.cli.SubcommandRunner;
import org.plantainwharf.control.ControlThread;
import org.plantainwharf.control.FatalErrorHandler;
import org.plantainwharf.storage.StorageWriter;

/** Entry point of the executable. */
public final class Main {
    private Main() {}

    /** Runs a subcommand and exits with its status. */
    public static void main(String[] arguments) {
        HangupSignal.install();
        Thread.setDefaultUncaughtExceptionHandler(FatalErrorHandler.create(
                Set.of(ControlThread.THREAD_NAME, StorageWriter.THREAD_NAME),
                status -> Runtime.getRuntime().halt(status)));
        System.exit(SubcommandRunner.run(Console.ofProcess(), arguments).status());
    }
}
