package org.plantainwharf.control;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.Event;

/**
 * Delivers an event, and the events that controllers post while handling it, to every controller in a fixed order, and
 * returns the effects. Uses no thread and no clock, so that tests and benchmarks can run it directly. Not thread-safe;
 * confined to the thread that calls {@link #run}.
 */
public final class ControlCycle {
    /** More events than this in one cycle indicate that controllers post events to each other in an endless loop. */
    private static final int MAXIMUM_EVENTS_PER_CYCLE = 100_000;

    private final Board board;
    private final List<Controller> controllers;
    private final Effects effects = Effects.create();

    private ControlCycle(Board board, List<Controller> controllers) {
        this.board = board;
        this.controllers = List.copyOf(controllers);
    }

    /** Returns a cycle for a board. The controllers are called in the given order. */
    public static ControlCycle create(Board board, List<Controller> controllers) {
        return new ControlCycle(board, controllers);
    }

    /** Returns the board. */
    public Board board() {
        return board;
    }

    /** Hears of controllers that fail. Called on the thread that runs the cycle. */
    @FunctionalInterface
    public interface FailureListener {
        /** Reports that a controller threw while it handled an event. */
        void onFailure(Controller controller, Event event, Throwable cause);
    }

    /**
     * Handles an event and all events posted as a result, and returns the effects in order. Fails with what a controller
     * throws; the rest of the cycle is then lost.
     *
     * @param nowNanos the time on the host's monotonic clock, in nanoseconds
     * @param wallClockMillis the time in milliseconds since the epoch
     */
    public List<Effect> run(Event event, long nowNanos, long wallClockMillis) {
        return run(event, nowNanos, wallClockMillis, (controller, failed, cause) -> rethrow(cause));
    }

    private static void rethrow(Throwable cause) {
        switch (cause) {
            case RuntimeException exception -> throw exception;
            case Error error -> throw error;
            default -> throw new IllegalStateException(cause);
        }
    }

    /**
     * Handles an event and all events posted as a result, and returns the effects in order. A controller that throws
     * keeps neither the other controllers from handling the event nor its earlier effects from being returned: what it
     * wrote to the board before it failed stays there, and the effects belong to it. It is asked at once to {@linkplain
     * Controller#recover recover}.
     *
     * @param nowNanos the time on the host's monotonic clock, in nanoseconds
     * @param wallClockMillis the time in milliseconds since the epoch
     */
    public List<Effect> run(Event event, long nowNanos, long wallClockMillis, FailureListener listener) {
        board.setWallClockMillis(wallClockMillis);
        @Nullable Event current = event;
        for (int count = 0; current != null; count++) {
            if (count > MAXIMUM_EVENTS_PER_CYCLE) {
                throw new IllegalStateException("controllers posted more than " + MAXIMUM_EVENTS_PER_CYCLE
                        + " events in one cycle, last: " + current);
            }
            for (Controller controller : controllers) {
                try {
                    controller.handle(current, board, nowNanos, effects);
                } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError e) {
                    listener.onFailure(controller, current, e);
                    recover(controller, current, nowNanos, listener);
                }
            }
            current = effects.pollEvent();
        }
        return effects.drain();
    }

    private void recover(Controller controller, Event event, long nowNanos, FailureListener listener) {
        try {
            controller.recover(event, board, nowNanos, effects);
        } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError e) {
            listener.onFailure(controller, event, e);
        }
    }
}
