package org.plantainwharf.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of the links. Each reason to drop a message or to close a link has a counter of its own. Thread-safe. */
record LinkMetrics(
        KindMeters sent,
        KindMeters received,
        Counter opened,
        Counter closed,
        Counter sentBytes,
        Counter receivedBytes,
        Counter droppedNotConnected,
        Counter droppedQueueFull,
        Counter droppedTooLarge,
        Counter droppedNotUnderstood,
        Counter messagesSkipped,
        Counter framesInvalid,
        Counter framesTooLong,
        Counter helloRefused,
        Counter helloMissing,
        Counter transfersBegun,
        Counter transfersResumed,
        Counter transfersStalled,
        Counter partsReceived,
        Counter partsIgnored,
        Counter contentsCorrupt,
        Counter contentsUnavailable,
        Counter messagesNotAwaited) {
    static LinkMetrics of(MetricRegistry registry) {
        return new LinkMetrics(
                KindMeters.of(registry, "links.sent"),
                KindMeters.of(registry, "links.received"),
                registry.counter("links.opened"),
                registry.counter("links.closed"),
                registry.counter("links.sent_bytes"),
                registry.counter("links.received_bytes"),
                registry.counter("links.dropped.not_connected"),
                registry.counter("links.dropped.queue_full"),
                registry.counter("links.dropped.too_large"),
                registry.counter("links.dropped.not_understood"),
                registry.counter("links.messages_skipped"),
                registry.counter("links.frames_invalid"),
                registry.counter("links.frames_too_long"),
                registry.counter("links.hello_refused"),
                registry.counter("links.hello_missing"),
                registry.counter("links.transfers.begun"),
                registry.counter("links.transfers.resumed"),
                registry.counter("links.transfers.stalled"),
                registry.counter("links.parts.received"),
                registry.counter("links.parts.ignored"),
                registry.counter("links.contents.corrupt"),
                registry.counter("links.contents.unavailable"),
                registry.counter("links.dropped.not_awaited"));
    }
}
