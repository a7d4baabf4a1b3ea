package org.plantainwharf.control;

import org.plantainwharf.event.Event;

/** Accepts events for the control thread. Thread-safe. */
public interface EventSink {
    /** Posts an event that may be rejected, such as a new request. Returns false if the queue is full. */
    boolean offer(Event event);

    /** Posts an event that must not be lost, such as the result of running work. Blocks while the queue is full. */
    void post(Event event);
}
