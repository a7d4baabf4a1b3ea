package org.plantainwharf.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An end point that reports a connection reset as a failure instead of an end of input. Jetty's own end point treats
 * both alike, so that a reset within a response without a declared length would make the response look complete. It also
 * reports bytes without end that are no content. Thread-safe like its base class, which is filled by one thread at a time.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {
    /**
     * Bytes read after which a response must have made progress. Jetty limits the length of a head, but not that of
     * interim responses, chunk sizes and trailers, which a faulty server may send without end.
     */
    private static final int MAXIMUM_BYTES_WITHOUT_PROGRESS = 256 << 10;

    private volatile int bytesWithoutProgress;
    /** Time between the two halves of a server's close, with room for a busy host. */
    private static final long END_CHECK_MILLIS = 50;

    /** Servers skip empty lines after a request, and read no further request on a connection that they have ended. */
    private static final byte[] EMPTY_LINE = {'\r', '\n'};

    private volatile boolean checksProgress;
    private volatile boolean checksEnd;
    private volatile boolean endSeen;
    private volatile boolean endDue;
    private volatile boolean used;
    private volatile boolean reused;

    ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Begins to check that the response makes progress. */
    void beginResponse() {
        reused = used;
        used = true;
        bytesWithoutProgress = 0;
        checksProgress = true;
        checksEnd = false;
        endSeen = false;
        endDue = false;
    }

    /**
     * Lets an end of input fail if a reset follows it. A server that ends its side and closes the connection with the
     * request unread sends both; after an end of input the operating system reports a reset to writers only. May be
     * called only after the request was written.
     */
    void checkEnd() {
        checksEnd = true;
    }

    /** Returns whether another response began on this connection before the present one. */
    boolean isReused() {
        return reused;
    }

    /** Records that the bytes read so far were part of the response's head or content. */
    void recordProgress() {
        bytesWithoutProgress = 0;
    }

    /** Ends the check, for exchanges on the same connection that do not report their progress. */
    void endResponse() {
        checksProgress = false;
    }

    /** Returns the end point of the connection that a request is sent on; empty if the request has none. */
    static Optional<ResetAwareEndPoint> of(Request request) {
        return request.getConnection() instanceof Connection connection
                        && connection.getEndPoint() instanceof ResetAwareEndPoint endPoint
                ? Optional.of(endPoint)
                : Optional.empty();
    }

    /** An end of input is reported after the time that a reset takes to follow it. */
    @Override
    protected void needsFillInterest() {
        if (endSeen && !endDue) {
            getScheduler()
                    .schedule(
                            () -> {
                                endDue = true;
                                getFillInterest().fillable();
                            },
                            END_CHECK_MILLIS,
                            TimeUnit.MILLISECONDS);
        } else {
            super.needsFillInterest();
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        if (checksProgress && bytesWithoutProgress > MAXIMUM_BYTES_WITHOUT_PROGRESS) {
            throw new IOException("no content in " + MAXIMUM_BYTES_WITHOUT_PROGRESS + " bytes of a response");
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                bytesWithoutProgress += filled;
                notIdle();
            } else if (filled < 0) {
                if (checksEnd && !endDue) {
                    endSeen = true;
                    return 0;
                }
                if (checksEnd) {
                    getChannel().write(ByteBuffer.wrap(EMPTY_LINE));
                }
                shutdownInput();
            }
            return filled;
        } catch (IOException e) {
            shutdownInput();
            throw e;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
