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
 * An end point that reports a connection reset as a failure instead of an end of input. Jetty's own end point treats
 * both alike, so that a reset within a response without a declared length would make the response look complete.
 * Thread-safe like its base class.
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
