package org.plantainwharf.daemon;

import java.util.concurrent.CompletableFuture;

import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.Event;

/**
 * An event sink for components that are created before the control thread. Whoever sends an event waits until the
 * control thread is connected. Thread-safe.
 */
final class DeferredEventSink implements EventSink {
    private final CompletableFuture<EventSink> delegate = new CompletableFuture<>();

    private DeferredEventSink() {}

    /** Returns a sink that is not connected yet. */
    static DeferredEventSink create() {
        return new DeferredEventSink();
    }

    /** Sets the sink that receives the events. Only the first call has an effect. */
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
