package org.plantainwharf.control;

import java.util.Set;
import java.util.function.IntConsumer;

import com.google.common.flogger.FluentLogger;

/**
 * Ends the process when it can no longer do its work: when an essential thread has died, or when any thread has died of
 * an error of the virtual machine such as {@link OutOfMemoryError}. A process that stayed would listen and answer nobody,
 * while one that ends is restarted and recovers. Other threads may die of an exception; it is logged, and their pools
 * replace them. Thread-safe.
 */
public final class FatalErrorHandler implements Thread.UncaughtExceptionHandler {
    /** Exit status of a process that ends this way. */
    public static final int EXIT_STATUS = 1;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Set<String> essentialThreads;
    private final IntConsumer halt;

    private FatalErrorHandler(Set<String> essentialThreads, IntConsumer halt) {
        this.essentialThreads = Set.copyOf(essentialThreads);
        this.halt = halt;
    }

    /**
     * Returns a handler for {@link Thread#setDefaultUncaughtExceptionHandler}.
     *
     * @param essentialThreads names of the threads without which the process is of no use
     * @param halt ends the process with a status at once, without shutdown hooks, which may need the dead thread
     */
    public static FatalErrorHandler create(Set<String> essentialThreads, IntConsumer halt) {
        return new FatalErrorHandler(essentialThreads, halt);
    }

    @Override
    public void uncaughtException(Thread thread, Throwable cause) {
        boolean fatal = essentialThreads.contains(thread.getName())
                || cause instanceof VirtualMachineError && !(cause instanceof StackOverflowError);
        try {
            LOGGER.atSevere().withCause(cause).log("event=thread_died thread=%s fatal=%s", thread.getName(), fatal);
        } finally {
            // Logging may fail for want of memory too.
            if (fatal) {
                halt.accept(EXIT_STATUS);
            }
        }
    }
}
