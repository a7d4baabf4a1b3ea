package org.plantainwharf.backend;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.Event;

/** Keeps posted events until a test takes them. Thread-safe. */
final class QueueingEventSink implements EventSink {
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    private QueueingEventSink() {}

    static QueueingEventSink create() {
        return new QueueingEventSink();
    }

    /** Returns the next event, or null if none is posted within the time. */
    @Nullable
    Event poll(long millis) throws InterruptedException {
        return events.poll(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean offer(Event event) {
        return events.offer(event);
    }

    @Override
    public void post(Event event) {
        events.add(event);
    }
}
