package org.plantainwharf.backend;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection on which a reset is a failure and not the end of what the other side sends. Jetty's own end point reports
 * both alike, so that an answer without a length that was reset half way would look whole. Thread-safe as its base class.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {
    ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
            } else if (filled < 0) {
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
