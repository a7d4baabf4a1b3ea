package org.plantainwharf.control;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.Event;

/**
 * Reacts to events by reading the board, writing its own section and asking for effects. Does no I/O, reads no clock
 * and starts no thread. Called on the control thread only; needs no synchronisation.
 */
public interface Controller {
    /**
     * Handles one event.
     *
     * @param nowNanos the time on the host's monotonic clock, in nanoseconds
     */
    void handle(Event event, Board board, long nowNanos, Effects effects);
}
