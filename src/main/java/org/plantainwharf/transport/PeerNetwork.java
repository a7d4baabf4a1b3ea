package org.plantainwharf.transport;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.codec.Envelope;
import org.plantainwharf.codec.FrameCodec;
import org.plantainwharf.codec.Hello;
import org.plantainwharf.codec.LinkFrame;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.LinkPlan;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.settings.Settings;

/**
 * TCP links to other daemons. With {@link PeerPolicy.Configured} there is one link for each pair of {@link LinkPlan},
 * opened by the host with the smaller id; with {@link PeerPolicy.Discovered} either host of a pair may open the link.
 *
 * <p>Each {@code PeerConnected} is followed by exactly one {@code PeerDisconnected} of the same incarnation, before the
 * next {@code PeerConnected} of that peer. All links share one event loop thread, which keeps these events in order
 * without locks. That thread blocks while the event queue is full; TCP flow control then slows the sending daemons down.
 * {@link #execute} is thread-safe and never blocks. Close the network before the control thread stops.
 */
public final class PeerNetwork implements AutoCloseable {
    /** Maximum length of a frame without its prefix. A longer received frame closes the link. */
    static final int MAXIMUM_FRAME_BYTES = FrameCodec.MAXIMUM_FRAME_BYTES;

    /** Size of the length prefix of a frame. */
    static final int LENGTH_BYTES = 4;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /**
     * Allows unsent data of eight frames of maximum length in a channel. Beyond that, messages are dropped until at most
     * four such frames remain.
     */
    private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
            new WriteBufferWaterMark(4 * MAXIMUM_FRAME_BYTES, 8 * MAXIMUM_FRAME_BYTES);

    private static final int MAXIMUM_MESSAGES_PER_FLUSH = 64;

    private static final long TRANSFER_CHECK_MILLIS = 250;

    /** A newer build may repeat a message that this one does not know with each heartbeat. */
    private static final int SKIPPED_LOG_SECONDS = 10;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Settings settings;
    private final Hello hello;
    private final PeerMessageCodec codec;
    private final EventSink events;
    private final LinkMetrics metrics;
    private final EventLoopGroup eventLoopGroup;
    private final ChannelGroup channels;
    private final Map<HostId, PeerLink> links = new ConcurrentHashMap<>();
    private final PeerPolicy policy;
    private final Map<HostId, Dialer> dialers = new HashMap<>();
    private final ContentStore contents = ContentStore.create();
    private final ContentFetcher fetcher;
    private final ContentFetcher.Output fetcherOutput = new FetcherOutput();
    private boolean transferCheckScheduled;
    private volatile int port;
    private volatile boolean closing;

    private PeerNetwork(
            Settings settings,
            PeerPolicy policy,
            long incarnation,
            PeerMessageCodec codec,
            EventSink events,
            MetricRegistry registry) {
        this.settings = settings;
        this.policy = policy;
        this.hello = Hello.of(settings.host(), settings.zone(), incarnation);
        this.codec = codec;
        this.events = events;
        this.metrics = LinkMetrics.of(registry);
        this.fetcher = ContentFetcher.create(metrics);
        this.eventLoopGroup = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("links-" + settings.host(), true), NioIoHandler.newFactory());
        this.channels = new DefaultChannelGroup(eventLoopGroup.next());
    }

    /**
     * Returns a network that has not started.
     *
     * @param incarnation changes with every start of this daemon's process
     * @param events receives connections, disconnections and messages
     * @param registry receives the counters {@code links.*}
     */
    public static PeerNetwork create(
            Settings settings, long incarnation, PeerMessageCodec codec, EventSink events, MetricRegistry registry) {
        return create(settings, new PeerPolicy.Configured(), incarnation, codec, events, registry);
    }

    /** Returns a network that has not started. The policy determines the daemons that it links with. */
    public static PeerNetwork create(
            Settings settings,
            PeerPolicy policy,
            long incarnation,
            PeerMessageCodec codec,
            EventSink events,
            MetricRegistry registry) {
        return new PeerNetwork(settings, policy, incarnation, codec, events, registry);
    }

    /**
     * Listens for links of other daemons and starts dialling.
     *
     * @return the port that it listens on, or {@link ErrorKind#SETTINGS_INVALID} if the peer address cannot be opened
     */
    public Either<Failure, Integer> start() {
        HelloValidator accepting =
                switch (policy) {
                    case PeerPolicy.Configured configured -> HelloValidator.accepting(settings);
                    case PeerPolicy.Discovered discovered -> HelloValidator.acceptingAny(settings.host());
                };
        ChannelFuture bound = new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .childHandler(initializer(() -> new LinkHandler(this, codec, metrics, accepting)))
                .bind(parseAddress(settings.peerAddress()))
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            eventLoopGroup.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            return Either.left(Failure.of(
                    ErrorKind.SETTINGS_INVALID,
                    "peerAddress " + settings.peerAddress() + " cannot be opened: " + bound.cause()));
        }
        channels.add(bound.channel());
        port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
        eventLoopGroup.next().execute(this::dialAll);
        return Either.right(port);
    }

    private void dialAll() {
        switch (policy) {
            case PeerPolicy.Configured configured -> {
                LinkPlan plan = LinkPlan.of(settings.host(), settings.hosts());
                for (Settings.HostEntry entry : settings.hosts()) {
                    if (plan.peers().contains(entry.host()) && LinkPlan.opensLink(settings.host(), entry.host())) {
                        maintainLink(
                                entry.host(),
                                entry.peerAddress(),
                                HelloValidator.dialling(settings, entry.host()),
                                () -> false);
                    }
                }
            }
            case PeerPolicy.Discovered discovered -> discovered.seeds().forEach(this::dialDiscovered);
        }
    }

    /** Either host may open the link to a discovered peer, so the dialer does not dial while a link exists. */
    private void dialDiscovered(HostId peer, String peerAddress) {
        if (!peer.equals(settings.host())) {
            maintainLink(
                    peer,
                    peerAddress,
                    HelloValidator.diallingDiscovered(settings.host(), peer),
                    () -> links.containsKey(peer));
        }
    }

    /** Keeps a link to a peer open until the network closes. To be called on the event loop. */
    private void maintainLink(HostId peer, String peerAddress, HelloValidator helloValidator, BooleanSupplier linked) {
        if (dialers.containsKey(peer)) {
            return;
        }
        Bootstrap bootstrap = new Bootstrap()
                .group(eventLoopGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .handler(initializer(() -> new LinkHandler(this, codec, metrics, helloValidator)));
        SplittableRandom random = new SplittableRandom(hello.incarnation() ^ peer.hashCode());
        Dialer dialer = new Dialer(bootstrap, parseAddress(peerAddress), eventLoopGroup.next(), random, linked);
        dialers.put(peer, dialer);
        dialer.dial();
    }

    private ChannelInitializer<Channel> initializer(Supplier<LinkHandler> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channels.add(channel);
                channel.pipeline()
                        // One write for all messages that are sent to a peer at a time.
                        .addLast(new FlushConsolidationHandler(MAXIMUM_MESSAGES_PER_FLUSH, true))
                        .addLast(new LengthFieldBasedFrameDecoder(
                                MAXIMUM_FRAME_BYTES + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(handler.get());
            }
        };
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the port that other daemons connect to, or 0 before {@link #start}. */
    public int port() {
        return port;
    }

    /** Executes an effect. A message to a host without a link is dropped and counted. */
    public void execute(PeerEffect effect) {
        @Nullable PeerLink link = links.get(effect.peer());
        switch (effect) {
            case PeerEffect.SendToPeer send -> {
                if (link == null) {
                    metrics.droppedNotConnected().inc();
                } else {
                    link.send(send.message());
                }
            }
            case PeerEffect.DialPeer dial ->
                eventLoopGroup.next().execute(() -> dialDiscovered(dial.peer(), dial.address()));
            case PeerEffect.CloseLink close -> {
                if (link != null) {
                    link.close();
                }
            }
        }
    }

    /** Returns the hello that this host sends on each link. */
    Hello hello() {
        return hello;
    }

    /** Registers a link whose remote side has identified itself. A newer link to a peer replaces the older one. */
    void linkOpened(PeerLink link) {
        @Nullable PeerLink older = links.put(link.remoteHello().host(), link);
        if (older != null) {
            reportClosed(older);
            older.close();
        }
        metrics.opened().inc();
        LOGGER.atInfo().log(
                "event=link_opened peer=%s incarnation=%s understands=%s",
                link.remoteHello().host(),
                link.remoteHello().incarnation(),
                link.remoteHello().understood());
        events.post(new PeerEvent.PeerConnected(
                link.remoteHello().host(),
                link.remoteHello().zone(),
                link.remoteHello().incarnation()));
    }

    /** Returns the contents that this host has referred to. For the event loop. */
    ContentStore contents() {
        return contents;
    }

    /** Skips a message of a newer build. */
    void messageSkipped(PeerLink link, LinkFrame.Unknown unknown) {
        metrics.messagesSkipped().inc();
        LOGGER.atWarning().atMostEvery(SKIPPED_LOG_SECONDS, TimeUnit.SECONDS).log(
                "event=message_skipped peer=%s problem=%s", link.remoteHello().host(), unknown.description());
    }

    /** Closes a link that sent a malformed frame or content. */
    void frameInvalid(PeerLink link, Failure failure) {
        metrics.framesInvalid().inc();
        LOGGER.atWarning().log(
                "event=frame_invalid peer=%s problem=%s", link.remoteHello().host(), failure.message());
        link.close();
    }

    void envelopeReceived(PeerLink link, Envelope envelope) {
        fetcher.receive(link, envelope, System.nanoTime(), fetcherOutput);
        scheduleTransferCheck();
    }

    /** Checks the transfers periodically as long as any message waits. */
    private void scheduleTransferCheck() {
        if (!transferCheckScheduled && fetcher.hasWaitingMessages()) {
            transferCheckScheduled = true;
            eventLoopGroup
                    .next()
                    .schedule(
                            () -> {
                                transferCheckScheduled = false;
                                fetcher.checkProgress(System.nanoTime(), fetcherOutput);
                                scheduleTransferCheck();
                            },
                            TRANSFER_CHECK_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    void partReceived(PeerLink link, LinkFrame.Part part) {
        fetcher.receive(link, part, System.nanoTime(), fetcherOutput);
    }

    void contentUnavailable(PeerLink link, LinkFrame.Unavailable unavailable) {
        fetcher.receive(link, unavailable, System.nanoTime(), fetcherOutput);
    }

    /** Executes what the fetcher decides. Confined to the event loop. */
    private final class FetcherOutput implements ContentFetcher.Output {
        @Override
        public void request(PeerLink link, LinkFrame.Requested request) {
            link.request(request);
        }

        @Override
        public void deliver(PeerLink link, PeerMessage message) {
            messageReceived(link, message);
        }

        @Override
        public void progressed(PeerLink link) {
            if (links.get(link.remoteHello().host()) == link) {
                events.post(new PeerEvent.ContentProgressed(
                        link.remoteHello().host(), link.remoteHello().incarnation()));
            }
        }

        @Override
        public void skipped(PeerLink link, LinkFrame.Unknown unknown) {
            messageSkipped(link, unknown);
        }

        @Override
        public void invalid(PeerLink link, Failure failure) {
            frameInvalid(link, failure);
        }
    }

    /** Posts a received message. Messages of a replaced link are dropped, as it was already reported as disconnected. */
    void messageReceived(PeerLink link, PeerMessage message) {
        link.received(message);
        if (links.get(link.remoteHello().host()) == link) {
            events.post(new PeerEvent.PeerMessageReceived(
                    link.remoteHello().host(), link.remoteHello().incarnation(), message));
        }
    }

    /** Removes a closed link. Does nothing if the link was replaced. */
    void linkClosed(PeerLink link) {
        fetcher.linkClosed(link, System.nanoTime(), fetcherOutput);
        if (links.remove(link.remoteHello().host(), link)) {
            reportClosed(link);
        }
    }

    private void reportClosed(PeerLink link) {
        metrics.closed().inc();
        LOGGER.atInfo().log(
                "event=link_closed peer=%s incarnation=%s",
                link.remoteHello().host(), link.remoteHello().incarnation());
        if (!closing) {
            events.post(new PeerEvent.PeerDisconnected(
                    link.remoteHello().host(), link.remoteHello().incarnation()));
        }
    }

    /** Closes all links without posting events for them. */
    @Override
    public void close() {
        closing = true;
        if (eventLoopGroup.isShuttingDown()) {
            return;
        }
        eventLoopGroup.next().execute(() -> {
            dialers.values().forEach(Dialer::stop);
            channels.close();
        });
        eventLoopGroup
                .shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }
}
