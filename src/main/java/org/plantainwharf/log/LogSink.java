package org.plantainwharf.log;

/** Receives the events of a daemon's log. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface LogSink {
    /**
     * Records an event.
     *
     * @param event name of the event
     * @param namesAndValues field names, each followed by its value; external text must be sanitized
     */
    void write(String event, Object... namesAndValues);
}
