package org.plantainwharf.daemon;

import java.util.concurrent.CountDownLatch;

import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.OperatorEvent;

/** A running daemon and its graceful stop. Thread-safe. */
public abstract sealed class RunningDaemon implements AutoCloseable permits Daemon, ControlDaemon, EntryDaemon {
    private final CountDownLatch drained;
    private final CountDownLatch closed = new CountDownLatch(1);

    RunningDaemon() {
        this(new CountDownLatch(1));
    }

    /** {@code drained} is counted down when a graceful stop is done. */
    RunningDaemon(CountDownLatch drained) {
        this.drained = drained;
    }

    /** Notes that a graceful stop is done. */
    final void markDrained() {
        drained.countDown();
    }

    /** Returns where events for the control thread go. */
    abstract EventSink events();

    /** Waits for answers that are decided and not sent yet. */
    void flushAnswers() throws InterruptedException {}

    /** Closes every part. */
    abstract void closeComponents() throws InterruptedException;

    /** Starts a graceful stop; {@link #awaitShutdown} returns once it is done. */
    public final void drain() {
        events().post(new OperatorEvent.DrainRequested(0));
    }

    /** Waits until a graceful stop is done and closes every part. */
    public final void awaitShutdown() throws InterruptedException {
        drained.await();
        flushAnswers();
        close();
    }

    /** Serves until a signal or an operator asks for a stop, which ends no request early. */
    public final void serveUntilStopped() throws InterruptedException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::shutDownOnSignal, "stop-on-signal"));
        awaitShutdown();
    }

    private void shutDownOnSignal() {
        if (closed.getCount() == 0) {
            return;
        }
        drain();
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        // A graceful stop is a success, while the virtual machine would report the signal.
        Runtime.getRuntime().halt(0);
    }

    /** Closes every part at once, without a graceful stop. */
    @Override
    public final void close() {
        try {
            closeComponents();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        closed.countDown();
    }
}
