package org.plantainwharf.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.plantainwharf.call.Content;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.settings.Settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a large message that hides the heartbeats of its link, or that is begun again from nothing whenever its
 * link is lost. The link is the slowest one of an entry host, and the content cannot be compressed.
 */
@Timeout(120)
class LargeMessageTest {
    private static final HostId SENDER = HostId.of("b");
    private static final HostId RECEIVER = HostId.of("a");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-1");
    private static final double MEGABITS_PER_SECOND = 5.25;

    /** A link without a message for this time is closed as silent (see the settings of both roles). */
    private static final long LINK_SILENCE_MILLIS = 1_500;

    private static final long HEARTBEAT_MILLIS = 250;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final BlockingQueue<Event> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<Event> senderEvents = new LinkedBlockingQueue<>();
    private final MetricRegistry receiverMetrics = new MetricRegistry();
    private long token;

    private PeerNetwork start(HostId self, Map<HostId, Integer> ports, EventSink sink, MetricRegistry metrics) {
        List<Settings.HostEntry> hosts = List.of(RECEIVER, SENDER).stream()
                .map(host -> new Settings.HostEntry(host, ZONE, "127.0.0.1:" + ports.getOrDefault(host, 1), false))
                .toList();
        Settings settings = new Settings(
                self,
                ZONE,
                HostClass.of("small"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                Optional.empty(),
                hosts,
                1,
                Settings.Timings.defaults(),
                Settings.Bounds.defaults());
        PeerNetwork network = PeerNetwork.create(settings, 10, PeerMessageCodec.create(), sink, metrics);
        open.add(network);
        network.start().getOrElseThrow(failure -> new IllegalStateException(failure.message()));
        return network;
    }

    private static EventSink sink(BlockingQueue<Event> queue) {
        return new EventSink() {
            @Override
            public boolean offer(Event event) {
                return queue.offer(event);
            }

            @Override
            public void post(Event event) {
                queue.add(event);
            }
        };
    }

    private PeerNetwork startSender() {
        return start(SENDER, Map.of(), sink(senderEvents), new MetricRegistry());
    }

    /** Starts the receiver, which dials the sender through the proxy, and waits until both know the link. */
    private SlowLinkProxy connect(PeerNetwork sender, double megabitsPerSecond) throws Exception {
        SlowLinkProxy proxy = SlowLinkProxy.start(sender.port(), megabitsPerSecond);
        open.add(proxy);
        start(RECEIVER, Map.of(SENDER, proxy.port()), sink(received), receiverMetrics);
        awaitEvent(PeerEvent.PeerConnected.class);
        // Messages to a host without a link are dropped.
        awaitEvent(PeerEvent.PeerConnected.class, senderEvents);
        return proxy;
    }

    private <T extends Event> T awaitEvent(Class<T> type) throws InterruptedException {
        return awaitEvent(type, received);
    }

    private static <T extends Event> T awaitEvent(Class<T> type, BlockingQueue<Event> queue)
            throws InterruptedException {
        while (true) {
            @Nullable Event event = queue.poll(20, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no " + type.getSimpleName() + " within 20 s");
            } else if (type.isInstance(event)) {
                return type.cast(event);
            }
        }
    }

    private static PeerMessage large(int bytes) {
        byte[] content = new byte[bytes];
        new SplittableRandom(bytes).nextBytes(content);
        return new PeerMessage.QueryResponse(
                "query", new QueryResult.WorkFinished(200, Content.of("application/json", content), "digest"));
    }

    private void sendHeartbeat(PeerNetwork sender) {
        sender.execute(new PeerEffect.SendToPeer(RECEIVER, new PeerMessage.Heartbeat(++token, 0, 0, false)));
    }

    private static boolean isLarge(Event event) {
        return event instanceof PeerEvent.PeerMessageReceived message
                && message.message() instanceof PeerMessage.QueryResponse;
    }

    private static boolean isHeartbeat(Event event) {
        return event instanceof PeerEvent.PeerMessageReceived message
                && message.message() instanceof PeerMessage.Heartbeat;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable closeable : open) {
            closeable.close();
        }
    }

    @Nested
    class OnASlowLink {
        @Test
        void doNotHideHeartbeats() throws Exception {
            PeerNetwork sender = startSender();
            connect(sender, MEGABITS_PER_SECOND);
            PeerMessage message = large(2 << 20);
            sender.execute(new PeerEffect.SendToPeer(RECEIVER, message));
            long lastHeartbeat = System.nanoTime();
            long longestSilence = 0;
            boolean arrived = false;
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            while (!arrived && System.nanoTime() < deadline) {
                sendHeartbeat(sender);
                long next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS);
                while (System.nanoTime() < next) {
                    @Nullable Event event = received.poll(Math.max(1, next - System.nanoTime()), TimeUnit.NANOSECONDS);
                    if (event != null && isHeartbeat(event)) {
                        longestSilence = Math.max(longestSilence, System.nanoTime() - lastHeartbeat);
                        lastHeartbeat = System.nanoTime();
                    } else if (event != null && isLarge(event)) {
                        assertEquals(message, ((PeerEvent.PeerMessageReceived) event).message());
                        arrived = true;
                    }
                }
            }
            assertTrue(arrived, "the large message has not arrived");
            long silenceMillis = TimeUnit.NANOSECONDS.toMillis(longestSilence);
            assertTrue(silenceMillis < LINK_SILENCE_MILLIS, "no heartbeat for " + silenceMillis + " ms");
        }
    }

    @Nested
    class OnALinkThatIsLost {
        /** Each link lives for a quarter of the time that the message needs; its sender sends it again on every link. */
        @Test
        void continueWhereTheyWere() throws Exception {
            PeerNetwork sender = startSender();
            SlowLinkProxy proxy = connect(sender, MEGABITS_PER_SECOND);
            PeerMessage message = large(2 << 20);
            boolean arrived = false;
            for (int link = 0; link < 12 && !arrived; link++) {
                sender.execute(new PeerEffect.SendToPeer(RECEIVER, message));
                long lost = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(800);
                while (System.nanoTime() < lost && !arrived) {
                    @Nullable Event event = received.poll(Math.max(1, lost - System.nanoTime()), TimeUnit.NANOSECONDS);
                    arrived = event != null && isLarge(event);
                }
                if (!arrived) {
                    proxy.reset();
                    awaitEvent(PeerEvent.PeerConnected.class);
                }
            }
            assertTrue(arrived, "the large message has not arrived over 12 links");
        }
    }

    @Nested
    class OfTheLargestSize {
        /** A document of 4 MiB is accepted, so the entry that holds it must reach every daemon. */
        @Test
        void areDelivered() throws Exception {
            PeerNetwork sender = startSender();
            connect(sender, 1_000);
            PeerMessage message = large(4 << 20);
            sender.execute(new PeerEffect.SendToPeer(RECEIVER, message));
            PeerEvent.PeerMessageReceived event = awaitEvent(PeerEvent.PeerMessageReceived.class);
            assertEquals(message, event.message());
        }
    }

    @Nested
    class SentOften {
        @Test
        void crossTheLinkOnce() throws Exception {
            PeerNetwork sender = startSender();
            connect(sender, 100);
            int bytes = 1 << 20;
            for (int repetition = 0; repetition < 20; repetition++) {
                sender.execute(new PeerEffect.SendToPeer(RECEIVER, large(bytes)));
            }
            for (int repetition = 0; repetition < 20; repetition++) {
                awaitEvent(PeerEvent.PeerMessageReceived.class);
            }
            long receivedBytes = receiverMetrics.counter("links.received_bytes").getCount();
            assertTrue(receivedBytes < 2 * bytes, receivedBytes + " bytes received");
        }
    }

    @Nested
    class Senders {
        /** A content may take a slow receiver longer than it takes the next ones to be committed. */
        @Test
        void keepWhatAReceiverIsFetching() {
            ContentStore store = ContentStore.create();
            SplittableRandom random = new SplittableRandom(1);
            byte[] first = new byte[4 << 20];
            random.nextBytes(first);
            String digest = store.put(ByteBuffer.wrap(first)).digest();
            for (int later = 1; later <= 6; later++) {
                assertTrue(store.part(digest, later, 1).isPresent(), "after " + (later - 1) + " later contents");
                byte[] content = new byte[4 << 20];
                random.nextBytes(content);
                store.put(ByteBuffer.wrap(content));
            }
        }
    }

    @Nested
    class Peers {
        /** What one daemon sent of a content counts when another one sends the same content. */
        @Test
        void continueEachOthersTransfers() throws IOException {
            ContentFetcher fetcher = ContentFetcher.create(LinkMetrics.of(receiverMetrics));
            FetcherRecorder output = new FetcherRecorder();
            PeerLink first = output.link("first");
            PeerLink second = output.link("second");
            output.send(fetcher, first, large(200_000), 0);
            output.answer(fetcher, first, 1);
            fetcher.linkClosed(first, 0, output);
            output.requests.clear();
            output.send(fetcher, second, large(200_000), 0);
            assertTrue(output.requests.getFirst().offset() > 0, "the transfer begins anew");
            output.answer(fetcher, second, 100);
            assertEquals(List.of(large(200_000)), output.delivered);
        }

        @Test
        void thatFallSilentAreReplaced() throws IOException {
            ContentFetcher fetcher = ContentFetcher.create(LinkMetrics.of(receiverMetrics));
            FetcherRecorder output = new FetcherRecorder();
            PeerLink first = output.link("first");
            PeerLink second = output.link("second");
            output.send(fetcher, first, large(200_000), 0);
            output.send(fetcher, second, large(200_000), 0);
            output.requests.clear();
            fetcher.checkProgress(ContentFetcher.STALL_NANOS, output);
            output.answer(fetcher, second, 100);
            assertEquals(List.of(large(200_000), large(200_000)), output.delivered);
        }
    }
}
