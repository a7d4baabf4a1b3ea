package org.plantainwharf.daemon;

/** A running daemon of either role. Thread-safe. */
public interface RoleDaemon extends AutoCloseable {
    /** Starts a graceful stop. */
    void drain();

    /** Waits until a graceful stop is done and closes every part. */
    void awaitStop() throws InterruptedException;

    /** Waits until every part is closed. */
    void awaitClosed() throws InterruptedException;

    /** Closes every part at once, without a graceful stop. */
    @Override
    void close();
}
