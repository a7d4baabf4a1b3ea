package org.plantainwharf.transport;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.Event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Queues posted events, so that a test can wait for them. Thread-safe. */
final class RecordingEventSink implements EventSink {
    private static final long TIMEOUT_SECONDS = 10;

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    @Override
    public boolean offer(Event event) {
        return events.add(event);
    }

    @Override
    public void post(Event event) {
        events.add(event);
    }

    /** Waits for the next event and asserts that it is the expected one. */
    void expect(Event expected) throws InterruptedException {
        assertEquals(expected, events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    void expectNothing() {
        assertNull(events.poll());
    }
}
