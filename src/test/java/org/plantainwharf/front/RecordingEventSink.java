package org.plantainwharf.front;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.Event;

/** Queues events, in order, for a test. Thread-safe. */
public final class RecordingEventSink implements EventSink {
    private static final long TIMEOUT_SECONDS = 10;

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private volatile boolean full;

    private RecordingEventSink() {}

    /** Returns a sink that accepts all events. */
    public static RecordingEventSink create() {
        return new RecordingEventSink();
    }

    /** Sets whether {@link #offer} refuses events, as a full queue does. */
    public void setFull(boolean full) {
        this.full = full;
    }

    @Override
    public boolean offer(Event event) {
        return !full && events.add(event);
    }

    @Override
    public void post(Event event) {
        events.add(event);
    }

    /**
     * Waits for the next event.
     *
     * @throws AssertionError if there is none within 10 s
     */
    public Event next() {
        try {
            @Nullable Event event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (event == null) {
                throw new AssertionError("no event within " + TIMEOUT_SECONDS + " s");
            }
            return event;
        } catch (InterruptedException e) {
            throw new AssertionError("interrupted", e);
        }
    }

    /** Waits for the next event of a type and discards the events before it. */
    public <T extends Event> T next(Class<T> type) {
        Event event = next();
        while (!type.isInstance(event)) {
            event = next();
        }
        return type.cast(event);
    }

    /** Returns whether no event is queued. */
    public boolean isEmpty() {
        return events.isEmpty();
    }
}
