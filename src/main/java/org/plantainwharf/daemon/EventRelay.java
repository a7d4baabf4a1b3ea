package org.plantainwharf.daemon;

import java.util.concurrent.CompletableFuture;

import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.Event;

/**
 * An event sink for parts that are built before the control thread. Events wait until the control thread is known.
 * Thread-safe.
 */
final class EventRelay implements EventSink {
    private final CompletableFuture<EventSink> target = new CompletableFuture<>();

    private EventRelay() {}

    /** Returns a relay without a target. */
    static EventRelay create() {
        return new EventRelay();
    }

    /** Sets the target, once. */
    void connect(EventSink sink) {
        target.complete(sink);
    }

    @Override
    public boolean offer(Event event) {
        return target.join().offer(event);
    }

    @Override
    public void post(Event event) {
        target.join().post(event);
    }
}
