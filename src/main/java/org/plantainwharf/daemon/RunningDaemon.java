package org.plantainwharf.daemon;

import java.util.concurrent.CountDownLatch;

import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.OperatorEvent;

/** A running daemon and its graceful shutdown. Thread-safe. */
public abstract sealed class RunningDaemon implements AutoCloseable permits Daemon, ControlDaemon, EntryDaemon {
    private final CountDownLatch drained;
    private final CountDownLatch closed = new CountDownLatch(1);

    RunningDaemon() {
        this(new CountDownLatch(1));
    }

    /** {@code drained} is counted down when the daemon is drained. */
    RunningDaemon(CountDownLatch drained) {
        this.drained = drained;
    }

    /** Records that the daemon is drained, so that {@link #awaitShutdown} continues. */
    final void markDrained() {
        drained.countDown();
    }

    /** Returns the event sink of the control thread. */
    abstract EventSink events();

    /** Waits for answers that are decided but not sent yet. */
    void flushAnswers() throws InterruptedException {}

    /** Closes every component. */
    abstract void closeComponents() throws InterruptedException;

    /** Starts a graceful shutdown; {@link #awaitShutdown} returns once it is complete. */
    public final void drain() {
        events().post(new OperatorEvent.DrainRequested(0));
    }

    /** Waits until the daemon is drained, then closes every component. */
    public final void awaitShutdown() throws InterruptedException {
        drained.await();
        flushAnswers();
        close();
    }

    /** Serves until a signal or an operator requests a shutdown; running requests may finish first. */
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
        // A graceful shutdown is a success, but the JVM would exit with the status of the signal.
        Runtime.getRuntime().halt(0);
    }

    /** Closes every component at once, without a graceful shutdown. */
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
