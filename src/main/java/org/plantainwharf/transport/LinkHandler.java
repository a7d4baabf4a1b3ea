package org.plantainwharf.transport;

import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.codec.FrameCodec;
import org.plantainwharf.codec.Hello;
import org.plantainwharf.codec.LinkFrame;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.error.Failure;

/**
 * Handles the frames received on one link: first the hello, then messages. A malformed frame closes this link and no
 * other; a message that this build does not know is skipped. Confined to the event loop.
 */
final class LinkHandler extends SimpleChannelInboundHandler<ByteBuf> {
    /** Without a limit, a host that connects and sends no hello would hold a socket indefinitely. */
    private static final long HELLO_TIMEOUT_MILLIS = 2_000;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PeerNetwork network;
    private final PeerMessageCodec codec;
    private final FrameCodec frames;
    private final LinkMetrics metrics;
    private final HelloValidator helloValidator;
    private @Nullable PeerLink link;

    LinkHandler(PeerNetwork network, PeerMessageCodec codec, LinkMetrics metrics, HelloValidator helloValidator) {
        this.network = network;
        this.codec = codec;
        this.frames = FrameCodec.create(codec);
        this.metrics = metrics;
        this.helloValidator = helloValidator;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.writeAndFlush(Unpooled.wrappedBuffer(codec.encodeHello(network.hello())));
        context.executor()
                .schedule(
                        () -> {
                            if (link == null && context.channel().isActive()) {
                                metrics.helloMissing().inc();
                                context.close();
                            }
                        },
                        HELLO_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        byte[] bytes = ByteBufUtil.getBytes(frame);
        metrics.receivedBytes().inc(PeerNetwork.LENGTH_BYTES + bytes.length);
        PeerLink open = link;
        if (open == null) {
            handleHello(context, codec.decodeHello(bytes));
            return;
        }
        Either<Failure, LinkFrame> decoded = frames.decode(bytes);
        if (decoded.isLeft()) {
            network.frameInvalid(open, decoded.getLeft());
            return;
        }
        switch (decoded.get()) {
            case LinkFrame.Whole whole -> {
                metrics.received().add(whole.message(), bytes.length);
                network.messageReceived(open, whole.message());
            }
            case LinkFrame.Unknown unknown -> network.messageSkipped(open, unknown);
            case LinkFrame.Referring referring -> network.envelopeReceived(open, referring.envelope());
            case LinkFrame.Requested request -> open.answer(request);
            case LinkFrame.Part part -> network.partReceived(open, part);
            case LinkFrame.Unavailable unavailable -> network.contentUnavailable(open, unavailable);
        }
    }

    private void handleHello(ChannelHandlerContext context, Either<Failure, Hello> decoded) {
        if (decoded.isLeft()) {
            metrics.framesInvalid().inc();
            context.close();
            return;
        }
        Hello hello = decoded.get();
        String problem = helloValidator.rejectionReason(hello);
        if (!problem.isEmpty()) {
            metrics.helloRefused().inc();
            LOGGER.atWarning().log(
                    "event=hello_refused peer=%s address=%s problem=%s",
                    hello.host(), context.channel().remoteAddress(), problem);
            context.close();
            return;
        }
        PeerLink opened = PeerLink.create(hello, context.channel(), frames, network.contents(), metrics);
        link = opened;
        network.linkOpened(opened);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (link != null) {
            network.linkClosed(link);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            metrics.framesTooLong().inc();
        }
        LOGGER.atFine().withCause(cause).log(
                "event=link_failed address=%s", context.channel().remoteAddress());
        context.close();
    }
}
