package org.plantainwharf.control;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.Event;

/**
 * One cycle of control: gives an event, and the events that controllers post while handling it, to every controller in
 * fixed order, and returns the effects. Without threads or clock, so that tests and benchmarks drive it directly. Not
 * thread-safe; owned by whoever drives it.
 */
public final class ControlCycle {
    /** Posted events beyond this number point to two controllers that answer each other without end. */
    private static final int MAXIMUM_EVENTS_PER_CYCLE = 100_000;

    private final Board board;
    private final List<Controller> controllers;
    private final Effects effects = Effects.create();

    private ControlCycle(Board board, List<Controller> controllers) {
        this.board = board;
        this.controllers = List.copyOf(controllers);
    }

    /** Returns a cycle over a board and its controllers, which run in the order given. */
    public static ControlCycle create(Board board, List<Controller> controllers) {
        return new ControlCycle(board, controllers);
    }

    /** Returns the board. */
    public Board board() {
        return board;
    }

    /** Handles an event and everything it leads to on this board, and returns the effects in order. */
    public List<Effect> run(Event event, long nowNanos, long wallClockMillis) {
        board.setWallClockMillis(wallClockMillis);
        @Nullable Event current = event;
        for (int count = 0; current != null; count++) {
            if (count > MAXIMUM_EVENTS_PER_CYCLE) {
                throw new IllegalStateException("controllers post events without end, last: " + current);
            }
            for (Controller controller : controllers) {
                controller.handle(current, board, nowNanos, effects);
            }
            current = effects.pollEvent();
        }
        return effects.drain();
    }
}
