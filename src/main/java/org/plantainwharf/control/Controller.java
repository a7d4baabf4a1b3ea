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

    /**
     * Called after this controller has thrown while it handled an event. Ends what only this event would have moved on, such
     * as a request that waits for its answer, and frees what that holds. What {@link #handle} wrote to the board before it
     * failed is there, and nothing else is known of how far it came.
     *
     * @param nowNanos the time on the host's monotonic clock, in nanoseconds
     */
    default void recover(Event event, Board board, long nowNanos, Effects effects) {}
}
