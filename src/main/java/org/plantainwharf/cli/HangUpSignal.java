package org.plantainwharf.cli;

import sun.misc.Signal;

/** Takes SIGHUP, which ends the virtual machine where nothing takes it. Thread-safe. */
public final class HangUpSignal {
    private static volatile Runnable handler = () -> {};

    private HangUpSignal() {}

    /** Takes the signal from now on; without a reaction it does nothing. To be called first in {@code main}. */
    public static void install() {
        Signal.handle(new Signal("HUP"), signal -> handler.run());
    }

    /** Sets what the signal causes. */
    public static void setHandler(Runnable newHandler) {
        handler = newHandler;
    }
}
