package org.plantainwharf.cli;

import sun.misc.Signal;

/** Handles SIGHUP, which terminates the virtual machine unless a handler is installed. Thread-safe. */
public final class HangupSignal {
    private static volatile Runnable handler = () -> {};

    private HangupSignal() {}

    /**
     * Installs the signal handler, which ignores the signal until {@link #setHandler} is called. Call this first in
     * {@code main}, since the signal terminates the process until then.
     */
    public static void install() {
        Signal.handle(new Signal("HUP"), signal -> handler.run());
    }

    /** Sets the task to run on each signal, in place of any earlier one. */
    public static void setHandler(Runnable newHandler) {
        handler = newHandler;
    }
}
