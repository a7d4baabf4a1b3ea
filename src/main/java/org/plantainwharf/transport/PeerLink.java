package org.plantainwharf.transport;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.vavr.control.Either;
import org.plantainwharf.codec.FrameCodec;
import org.plantainwharf.codec.Hello;
import org.plantainwharf.codec.LinkFrame;
import org.plantainwharf.codec.MessageKinds;
import org.plantainwharf.error.Failure;
import org.plantainwharf.message.PeerMessage;

/**
 * A link whose remote side has identified itself with a valid hello. At most {@link #QUEUE_CAPACITY} messages are
 * queued, and none is written while the channel is not writable, that is, once its unsent bytes have exceeded the high
 * water mark and until they fall below the low one. Messages beyond either bound are dropped and counted, and so are
 * messages of kinds that the remote side has not shown to understand.
 * {@link #send} is thread-safe and never blocks.
 */
final class PeerLink {
    /** Four seconds of traffic on the busiest link at the planned size; a longer queue would only delay newer messages. */
    static final int QUEUE_CAPACITY = 1_024;

    private final Hello remoteHello;
    private final Channel channel;
    private final FrameCodec codec;
    private final ContentStore contents;
    private final LinkMetrics metrics;
    private final AtomicInteger queued = new AtomicInteger();

    /** Confined to the event loop. */
    private MessageKinds understood;

    private PeerLink(Hello remoteHello, Channel channel, FrameCodec codec, ContentStore contents, LinkMetrics metrics) {
        this.remoteHello = remoteHello;
        this.understood = remoteHello.understood();
        this.channel = channel;
        this.codec = codec;
        this.contents = contents;
        this.metrics = metrics;
    }

    static PeerLink create(
            Hello remoteHello, Channel channel, FrameCodec codec, ContentStore contents, LinkMetrics metrics) {
        return new PeerLink(remoteHello, channel, codec, contents, metrics);
    }

    Hello remoteHello() {
        return remoteHello;
    }

    void close() {
        channel.close();
    }

    /** Queues a message for the event loop, which encodes and writes it. A message that cannot be queued is dropped. */
    void send(PeerMessage message) {
        if (queued.incrementAndGet() > QUEUE_CAPACITY) {
            queued.decrementAndGet();
            metrics.droppedQueueFull().inc();
            return;
        }
        try {
            channel.eventLoop().execute(() -> write(message));
        } catch (RejectedExecutionException e) {
            // The event loop rejects tasks once the network is closing.
            metrics.droppedNotConnected().inc();
        }
    }

    /** Notes what the remote side understands if it sends this message. To be called on the event loop. */
    void received(PeerMessage message) {
        understood = understood.withSenderOf(message);
    }

    private void write(PeerMessage message) {
        if (!understood.includes(message)) {
            queued.decrementAndGet();
            metrics.droppedNotUnderstood().inc();
            return;
        }
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
        Either<Failure, byte[]> frame = codec.encode(message, contents::put);
        if (frame.isLeft()) {
            queued.decrementAndGet();
            metrics.droppedTooLarge().inc();
            return;
        }
        metrics.sent().add(message, frame.get().length);
        write(frame.get()).addListener(written -> queued.decrementAndGet());
    }

    /** Answers a request of the receiver. To be called on the event loop. */
    void answer(LinkFrame.Requested request) {
        writeFrame(contents.part(request.digest(), request.offset(), request.length())
                .map(bytes -> codec.encodePart(new LinkFrame.Part(request.digest(), request.offset(), bytes)))
                .orElseGet(() -> codec.encodeUnavailable(new LinkFrame.Unavailable(request.digest()))));
    }

    /** Asks for a part of a content. To be called on the event loop. */
    void request(LinkFrame.Requested request) {
        writeFrame(codec.encodeRequest(request));
    }

    /** Writes a frame of a transfer, or drops it if the channel is not writable; the receiver asks again. */
    private void writeFrame(byte[] bytes) {
        if (channel.isActive() && channel.isWritable()) {
            write(bytes);
        } else {
            metrics.droppedQueueFull().inc();
        }
    }

    private ChannelFuture write(byte[] bytes) {
        metrics.sentBytes().inc(PeerNetwork.LENGTH_BYTES + bytes.length);
        return channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }
}
