package org.plantainwharf.daemon;

import java.util.concurrent.CompletableFuture;

import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.Event;

/**
 * An event sink for parts that are built before the control thread. Events wait until the control thread is known.
 * Thread-safe.
 */
final class DeferredEventSink implements EventSink {
    private final CompletableFuture<EventSink> delegate = new CompletableFuture<>();

    private DeferredEventSink() {}

    /** Returns a relay without a target. */
    static DeferredEventSink create() {
        return new DeferredEventSink();
    }

    /** Sets the target, once. */
    void connect(EventSink sink) {
        delegate.complete(sink);
    }

    @Override
    public boolean offer(Event event) {
        return delegate.join().offer(event);
    }

    @Override
    public void post(Event event) {
        delegate.join().post(event);
    }
}
