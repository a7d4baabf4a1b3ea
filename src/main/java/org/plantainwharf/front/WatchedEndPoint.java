package org.plantainwharf.front;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * An end point that detects a disconnect while an HTTP/1.1 request is being handled. Jetty's HTTP/1.1 connection does
 * not read during that time, so that it would detect a disconnect only when it writes the answer. Bytes that arrive
 * meanwhile (a pipelined request) are buffered for the next reader; no disconnect is detected after them.
 *
 * <p>Invariant: at most one read interest is registered with the selector. A reader that registers while the watch
 * holds the interest is notified in place of the watch when that interest fires; nothing is read ahead then.
 * Thread-safe: the state is guarded by {@code lock}, which is not held while callbacks run.
 */
final class WatchedEndPoint extends SocketChannelEndPoint {
    private static final int READ_AHEAD_BYTES = 4_096;

    private final Object lock = new Object();
    private final Executor executor;
    private final HeaderLimit headerLimit;
    private final ByteBuffer readAhead = BufferUtil.allocate(READ_AHEAD_BYTES);
    private boolean endOfInput;
    private boolean watchRegistered;
    private @Nullable Callback pendingReader;
    private @Nullable Runnable onDisconnect;

    private WatchedEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Executor executor,
            HeaderLimit headerLimit) {
        super(channel, selector, key, scheduler);
        this.executor = executor;
        this.headerLimit = headerLimit;
    }

    static WatchedEndPoint create(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Executor executor,
            HeaderLimit headerLimit) {
        return new WatchedEndPoint(channel, selector, key, scheduler, executor, headerLimit);
    }

    /** Returns the limit on heads that was known when this connection was opened; the connection keeps to it. */
    HeaderLimit headerLimit() {
        return headerLimit;
    }

    /**
     * Runs a task once if the peer closes the connection or it fails before {@link #stopWatching} is called. If the peer
     * has closed it already, the task has run when this method returns: a host that was paused must not work for callers
     * who gave up meanwhile.
     */
    void watch(Runnable onDisconnect) {
        boolean closed;
        synchronized (lock) {
            if (!watchRegistered && !readAhead.hasRemaining()) {
                readAheadWithoutBlocking();
            }
            closed = endOfInput;
            if (!closed) {
                this.onDisconnect = onDisconnect;
                registerWatch();
            }
        }
        if (closed) {
            onDisconnect.run();
        }
    }

    private void readAheadWithoutBlocking() {
        if (!endOfInput) {
            try {
                endOfInput = super.fill(readAhead) < 0;
            } catch (IOException e) {
                endOfInput = true;
            }
        }
    }

    /** Stops the watch. To be called before the last byte of the answer is written. */
    void stopWatching() {
        synchronized (lock) {
            onDisconnect = null;
        }
    }

    /**
     * Sets whether closing the connection resets it. The operating system keeps to it when this process is killed, so that
     * the peer cannot take the close for the end of an answer. Bytes that the peer has not received by then are lost. Has
     * no effect on a connection that is closed already.
     */
    void setResetOnClose(boolean reset) {
        try {
            getChannel().setOption(StandardSocketOptions.SO_LINGER, reset ? 0 : -1);
        } catch (IOException e) {
            close(e);
        }
    }

    private void registerWatch() {
        if (!watchRegistered && !endOfInput && !readAhead.hasRemaining()) {
            watchRegistered = super.tryFillInterested(new WatchCallback());
        }
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!tryFillInterested(callback)) {
            throw new ReadPendingException();
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        synchronized (lock) {
            if (watchRegistered) {
                if (pendingReader != null) {
                    return false;
                }
                pendingReader = callback;
                return true;
            }
            if (!readAhead.hasRemaining() && !endOfInput) {
                return super.tryFillInterested(callback);
            }
        }
        executor.execute(callback::succeeded);
        return true;
    }

    @Override
    public boolean isFillInterested() {
        synchronized (lock) {
            return watchRegistered ? pendingReader != null : super.isFillInterested();
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (lock) {
            if (readAhead.hasRemaining()) {
                return BufferUtil.append(buffer, readAhead);
            }
            int count = endOfInput ? -1 : super.fill(buffer);
            endOfInput |= count < 0;
            return count;
        }
    }

    /** Returns whether the end of the peer's bytes has been read; those before it may still be in a buffer. */
    boolean isInputEnded() {
        synchronized (lock) {
            return endOfInput;
        }
    }

    private void onReadable() {
        @Nullable Callback reader;
        @Nullable Runnable disconnected = null;
        synchronized (lock) {
            watchRegistered = false;
            reader = pendingReader;
            pendingReader = null;
            if (reader == null && onDisconnect != null) {
                readAheadWithoutBlocking();
                if (endOfInput) {
                    disconnected = onDisconnect;
                    onDisconnect = null;
                } else {
                    registerWatch();
                }
            }
        }
        if (reader != null) {
            reader.succeeded();
        }
        if (disconnected != null) {
            disconnected.run();
        }
    }

    private void onReadFailed(Throwable cause) {
        @Nullable Callback reader;
        @Nullable Runnable disconnected = null;
        synchronized (lock) {
            watchRegistered = false;
            reader = pendingReader;
            pendingReader = null;
            if (reader == null && onDisconnect != null) {
                if (cause instanceof TimeoutException && isOpen()) {
                    registerWatch();
                } else {
                    disconnected = onDisconnect;
                    onDisconnect = null;
                }
            }
        }
        if (reader != null) {
            reader.failed(cause);
        }
        if (disconnected != null) {
            disconnected.run();
        }
    }

    /** Receives the selector's notification for the watch, or for the reader that took over its read interest. */
    private final class WatchCallback implements Callback {
        @Override
        public void succeeded() {
            onReadable();
        }

        @Override
        public void failed(Throwable cause) {
            WatchedEndPoint.this.onReadFailed(cause);
        }
    }
}
