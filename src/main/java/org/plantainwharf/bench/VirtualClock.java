package org.plantainwharf.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Discrete-event scheduler in virtual time. Actions due at the same time run in the order of scheduling. Not thread-safe. */
final class VirtualClock {
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::dueNanos).thenComparingLong(ScheduledAction::order));
    private long nowNanos = 1_000_000_000L;
    private long lastOrder;

    private VirtualClock() {}

    static VirtualClock create() {
        return new VirtualClock();
    }

    long nowNanos() {
        return nowNanos;
    }

    /** Returns the virtual seconds since the start of the run. */
    double seconds() {
        return nowNanos / 1e9 - 1;
    }

    /** Schedules an action after a delay; a negative delay counts as 0. */
    void schedule(double millis, Runnable action) {
        lastOrder++;
        queue.add(new ScheduledAction(nowNanos + Math.max(0, (long) (millis * 1e6)), lastOrder, action));
    }

    /** Runs all actions due until a time, in seconds since the start of the run. */
    void runUntil(double endSeconds) {
        while (!queue.isEmpty() && queue.peek().dueNanos() / 1e9 - 1 <= endSeconds) {
            ScheduledAction next = queue.remove();
            nowNanos = next.dueNanos();
            next.action().run();
        }
    }

    private record ScheduledAction(long dueNanos, long order, Runnable action) {}
}
