package org.plantainwharf.control;

import org.plantainwharf.event.Event;

/** Takes events for the control thread. Thread-safe. */
public interface EventSink {
    /** Posts an event that may be refused, such as a new request. Returns false when the queue is full. */
    boolean offer(Event event);

    /** Posts an event that must not be lost, such as the result of running work. Blocks while the queue is full. */
    void post(Event event);
}
