package org.plantainwharf.transport;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.plantainwharf.codec.Hello;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.message.PeerMessage;

/**
 * A link whose other side has identified itself. At most {@link #QUEUE_CAPACITY} messages wait, and none is written
 * while the channel holds more bytes than its high water mark; messages above either bound are dropped and counted.
 * {@link #send} is thread-safe and never blocks.
 */
final class PeerLink {
    /** Four seconds of the busiest link at the planned size; a longer queue only delays newer messages. */
    static final int QUEUE_CAPACITY = 1_024;

    private final Hello remoteHello;
    private final Channel channel;
    private final PeerMessageCodec codec;
    private final LinkMetrics metrics;
    private final AtomicInteger queued = new AtomicInteger();

    private PeerLink(Hello remoteHello, Channel channel, PeerMessageCodec codec, LinkMetrics metrics) {
        this.remoteHello = remoteHello;
        this.channel = channel;
        this.codec = codec;
        this.metrics = metrics;
    }

    static PeerLink create(Hello remoteHello, Channel channel, PeerMessageCodec codec, LinkMetrics metrics) {
        return new PeerLink(remoteHello, channel, codec, metrics);
    }

    Hello remoteHello() {
        return remoteHello;
    }

    void close() {
        channel.close();
    }

    /** Hands a message to the event loop, which encodes and writes it. */
    void send(PeerMessage message) {
        if (queued.incrementAndGet() > QUEUE_CAPACITY) {
            queued.decrementAndGet();
            metrics.droppedQueueFull().inc();
            return;
        }
        try {
            channel.eventLoop().execute(() -> write(message));
        } catch (RejectedExecutionException e) {
            // The network is being closed.
            metrics.droppedNotConnected().inc();
        }
    }

    private void write(PeerMessage message) {
        if (!channel.isActive()) {
            queued.decrementAndGet();
            metrics.droppedNotConnected().inc();
            return;
        }
        if (!channel.isWritable()) {
            queued.decrementAndGet();
            metrics.droppedQueueFull().inc();
            return;
        }
        byte[] bytes = codec.encode(message);
        if (bytes.length > PeerNetwork.MAXIMUM_FRAME_BYTES) {
            queued.decrementAndGet();
            metrics.droppedTooLarge().inc();
            return;
        }
        metrics.sentBytes().inc(PeerNetwork.LENGTH_BYTES + bytes.length);
        channel.writeAndFlush(Unpooled.wrappedBuffer(bytes)).addListener(written -> queued.decrementAndGet());
    }
}
