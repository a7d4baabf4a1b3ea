package org.plantainwharf.control;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.Event;

/**
 * Reacts to events by reading the board, writing its own section and requesting effects. Implementations do no I/O, read
 * no clock and start no threads. They are called on the control thread only and need no synchronization.
 */
public interface Controller {
    /**
     * Handles one event.
     *
     * @param nowNanos the time on the host's monotonic clock, in nanoseconds
     */
    void handle(Event event, Board board, long nowNanos, Effects effects);
}
