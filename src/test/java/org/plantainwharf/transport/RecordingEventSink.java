package org.plantainwharf.transport;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.control.EventSink;
import org.plantainwharf.event.Event;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Keeps posted events for a test to wait for. */
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

    /** Waits for the next event and checks it. */
    void expect(Event expected) throws InterruptedException {
        assertEquals(expected, events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    void expectNothing() {
        assertNull(events.poll());
    }
}
