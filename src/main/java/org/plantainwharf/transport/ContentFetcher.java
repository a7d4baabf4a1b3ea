package org.plantainwharf.transport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.codec.ContentReference;
import org.plantainwharf.codec.Envelope;
import org.plantainwharf.codec.FrameCodec;
import org.plantainwharf.codec.LinkFrame;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.message.PeerMessage;

/**
 * Fetches the contents that received messages refer to, and delivers each message once its contents are there. Confined
 * to the event loop.
 *
 * <p>The receiver asks for the parts, so what is under way to this host is bounded over all links: {@link #ACTIVE_TRANSFERS}
 * transfers with {@link #WINDOW_PARTS} parts each. Small messages wait for no more than that, and a small link is not
 * flooded by several senders. Parts are asked for in order. What has arrived of a content outlives the link: any peer that
 * refers to the same content continues the transfer, so that a content is never begun anew while it is among the last
 * {@link #MAXIMUM_KEPT_BYTES}. Contents that arrived are kept within the same bound, so that a repeated message needs none.
 */
final class ContentFetcher {
    static final int ACTIVE_TRANSFERS = 2;
    static final int WINDOW_PARTS = 2;

    /** Bound of the bytes of all transfers and of the contents kept. */
    static final long MAXIMUM_KEPT_BYTES = 16L << 20;

    /** Messages of one link that wait for contents. The oldest is dropped beyond it; its sender repeats it. */
    static final int MAXIMUM_WAITING_PER_LINK = 64;

    /** Time without a part after which a transfer turns to another peer or repeats its requests. */
    static final long STALL_NANOS = 1_000_000_000L;

    private final LinkMetrics metrics;
    /** Contents by digest, in the order of the first reference; the complete ones are kept for later messages. */
    private final Map<String, Transfer> transfers = new LinkedHashMap<>();

    private final List<Waiting> waiting = new ArrayList<>();

    /** Receives what the fetcher decides. Called on the event loop. */
    interface Output {
        /** Sends a frame on a link. */
        void request(PeerLink link, LinkFrame.Requested request);

        /** Passes on a message whose contents are there. */
        void deliver(PeerLink link, PeerMessage message);

        /** Reports that a content of a waiting message of this link has grown. */
        void progressed(PeerLink link);

        /** Reports a message that this build does not know. */
        void skipped(PeerLink link, LinkFrame.Unknown unknown);

        /** Reports a malformed message. */
        void invalid(PeerLink link, Failure failure);
    }

    private record Waiting(PeerLink link, Envelope envelope) {}

    /** One content. Parts arrive in order, so {@code received} bytes from the start on are there. Not thread-safe. */
    private static final class Transfer {
        private final ContentReference reference;
        private final byte[] bytes;
        private final Set<PeerLink> peers = new LinkedHashSet<>();
        private int received;
        private int requested;
        private boolean complete;
        private @Nullable PeerLink source;
        private long lastProgressNanos;

        private Transfer(ContentReference reference) {
            this.reference = reference;
            this.bytes = new byte[reference.compressedLength()];
        }

        static Transfer of(ContentReference reference) {
            return new Transfer(reference);
        }

        void restart() {
            received = 0;
            requested = 0;
        }
    }

    private ContentFetcher(LinkMetrics metrics) {
        this.metrics = metrics;
    }

    static ContentFetcher create(LinkMetrics metrics) {
        return new ContentFetcher(metrics);
    }

    /** Delivers the message of an envelope, or fetches what it lacks. */
    void receive(PeerLink link, Envelope envelope, long nowNanos, Output output) {
        for (ContentReference reference : envelope.references()) {
            @Nullable Transfer known = transfers.get(reference.digest());
            if (known != null && !known.reference.equals(reference)) {
                output.invalid(link, Failure.of(ErrorKind.FRAME_INVALID, "two lengths of one content"));
                return;
            }
            Transfer transfer = known == null ? Transfer.of(reference) : known;
            // The content referred to last is dropped last.
            transfers.remove(reference.digest());
            transfers.put(reference.digest(), transfer);
            if (!transfer.complete) {
                transfer.peers.add(link);
            }
        }
        Waiting next = new Waiting(link, envelope);
        if (isComplete(next)) {
            deliver(next, new HashMap<>(), nowNanos, output);
        } else {
            waiting.add(next);
            limitWaiting(link);
        }
        dropExcess();
        requestParts(nowNanos, output);
    }

    /** Stores a part. Parts of another transfer, or out of order, are ignored. */
    void receive(PeerLink link, LinkFrame.Part part, long nowNanos, Output output) {
        @Nullable Transfer transfer = transfers.get(part.digest());
        if (transfer == null
                || transfer.complete
                || transfer.source != link
                || part.offset() != transfer.received
                || part.bytes().length > transfer.bytes.length - transfer.received) {
            metrics.partsIgnored().inc();
            return;
        }
        System.arraycopy(part.bytes(), 0, transfer.bytes, transfer.received, part.bytes().length);
        transfer.received += part.bytes().length;
        transfer.lastProgressNanos = nowNanos;
        metrics.partsReceived().inc();
        if (transfer.received == transfer.bytes.length) {
            finish(transfer);
        }
        linksWaitingFor(part.digest()).forEach(output::progressed);
        deliverComplete(nowNanos, output);
        requestParts(nowNanos, output);
    }

    private void finish(Transfer transfer) {
        transfer.source = null;
        if (transfer.reference.matches(transfer.bytes)) {
            transfer.complete = true;
            transfer.peers.clear();
        } else {
            metrics.contentsCorrupt().inc();
            transfer.restart();
        }
    }

    /** Turns to another peer, or drops the messages of this one that wait for the content. */
    void receive(PeerLink link, LinkFrame.Unavailable unavailable, long nowNanos, Output output) {
        @Nullable Transfer transfer = transfers.get(unavailable.digest());
        if (transfer != null && transfer.peers.remove(link)) {
            release(transfer, link);
            waiting.removeIf(message -> message.link() == link && refersTo(message, unavailable.digest()));
            metrics.contentsUnavailable().inc();
            requestParts(nowNanos, output);
        }
    }

    /** Drops the messages of a closed link. What has arrived of their contents stays. */
    void linkClosed(PeerLink link, long nowNanos, Output output) {
        waiting.removeIf(message -> message.link() == link);
        for (Transfer transfer : transfers.values()) {
            if (transfer.peers.remove(link)) {
                release(transfer, link);
            }
        }
        requestParts(nowNanos, output);
    }

    private static void release(Transfer transfer, PeerLink link) {
        if (transfer.source == link) {
            transfer.source = null;
            transfer.requested = transfer.received;
        }
    }

    boolean hasWaitingMessages() {
        return !waiting.isEmpty();
    }

    /** Turns away from peers that have sent no part for {@link #STALL_NANOS}. */
    void checkProgress(long nowNanos, Output output) {
        for (Transfer transfer : transfers.values()) {
            @Nullable PeerLink source = transfer.source;
            if (source != null && nowNanos - transfer.lastProgressNanos >= STALL_NANOS) {
                release(transfer, source);
                // Behind the other peers: it is asked again only if there is none.
                transfer.peers.remove(source);
                transfer.peers.add(source);
                metrics.transfersStalled().inc();
            }
        }
        requestParts(nowNanos, output);
    }

    /** Asks for the next parts of the transfers that messages wait for, in the order of these messages. */
    private void requestParts(long nowNanos, Output output) {
        int active = 0;
        for (String digest : digestsWaitedFor()) {
            @Nullable Transfer transfer = transfers.get(digest);
            if (active == ACTIVE_TRANSFERS || transfer == null || transfer.complete || transfer.peers.isEmpty()) {
                continue;
            }
            active++;
            PeerLink source = transfer.source;
            if (source == null) {
                source = transfer.peers.iterator().next();
                transfer.source = source;
                transfer.requested = transfer.received;
                transfer.lastProgressNanos = nowNanos;
                (transfer.received == 0 ? metrics.transfersBegun() : metrics.transfersResumed()).inc();
            }
            while (transfer.requested < transfer.bytes.length
                    && transfer.requested - transfer.received < WINDOW_PARTS * FrameCodec.PART_BYTES) {
                int length = Math.min(FrameCodec.PART_BYTES, transfer.bytes.length - transfer.requested);
                output.request(source, new LinkFrame.Requested(digest, transfer.requested, length));
                transfer.requested += length;
            }
        }
    }

    private Set<String> digestsWaitedFor() {
        Set<String> digests = new LinkedHashSet<>();
        for (Waiting message : waiting) {
            message.envelope().references().forEach(reference -> digests.add(reference.digest()));
        }
        return digests;
    }

    private Set<PeerLink> linksWaitingFor(String digest) {
        Set<PeerLink> links = new HashSet<>();
        for (Waiting message : waiting) {
            if (refersTo(message, digest)) {
                links.add(message.link());
            }
        }
        return links;
    }

    private static boolean refersTo(Waiting message, String digest) {
        return message.envelope().references().stream()
                .anyMatch(reference -> reference.digest().equals(digest));
    }

    private boolean isComplete(Waiting message) {
        return message.envelope().references().stream().allMatch(reference -> {
            @Nullable Transfer transfer = transfers.get(reference.digest());
            return transfer != null && transfer.complete;
        });
    }

    private void deliverComplete(long nowNanos, Output output) {
        List<Waiting> complete = waiting.stream().filter(this::isComplete).toList();
        waiting.removeAll(complete);
        // Messages that were repeated while they waited share the decompressed bytes.
        Map<String, byte[]> decompressed = new HashMap<>();
        complete.forEach(message -> deliver(message, decompressed, nowNanos, output));
    }

    private void deliver(Waiting message, Map<String, byte[]> decompressed, long nowNanos, Output output) {
        Either<Failure, LinkFrame> resolved = message.envelope()
                .resolve(reference -> decompressed.computeIfAbsent(
                        reference.digest(),
                        digest -> reference.decompress(Objects.requireNonNull(transfers.get(digest)).bytes)));
        if (resolved.isLeft()) {
            output.invalid(message.link(), resolved.getLeft());
            return;
        }
        switch (resolved.get()) {
            case LinkFrame.Whole whole -> output.deliver(message.link(), whole.message());
            case LinkFrame.Referring referring -> receive(message.link(), referring.envelope(), nowNanos, output);
            case LinkFrame.Unknown unknown -> output.skipped(message.link(), unknown);
            case LinkFrame.Requested ignored -> {}
            case LinkFrame.Part ignored -> {}
            case LinkFrame.Unavailable ignored -> {}
        }
    }

    private void limitWaiting(PeerLink link) {
        List<Waiting> ofLink =
                waiting.stream().filter(message -> message.link() == link).toList();
        if (ofLink.size() > MAXIMUM_WAITING_PER_LINK) {
            waiting.remove(ofLink.getFirst());
            metrics.messagesNotAwaited().inc();
        }
    }

    /** Drops contents beyond the bound: those referred to longest ago first, and none that a message waits for. */
    private void dropExcess() {
        long bytes = transfers.values().stream()
                .mapToLong(transfer -> transfer.bytes.length)
                .sum();
        Set<String> needed = digestsWaitedFor();
        Iterator<Map.Entry<String, Transfer>> oldestFirst = transfers.entrySet().iterator();
        while (bytes > MAXIMUM_KEPT_BYTES && oldestFirst.hasNext()) {
            Map.Entry<String, Transfer> oldest = oldestFirst.next();
            if (!needed.contains(oldest.getKey())) {
                bytes -= oldest.getValue().bytes.length;
                oldestFirst.remove();
            }
        }
        if (bytes > MAXIMUM_KEPT_BYTES && waiting.size() > 1) {
            waiting.removeFirst();
            metrics.messagesNotAwaited().inc();
            dropExcess();
        }
    }
}
