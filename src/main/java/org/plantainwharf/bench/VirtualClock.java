package org.plantainwharf.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time with a queue of actions; equal times run in order of scheduling. Not thread-safe. */
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

    /** Returns seconds since the start of the run. */
    double seconds() {
        return nowNanos / 1e9 - 1;
    }

    void schedule(double millis, Runnable action) {
        lastOrder++;
        queue.add(new ScheduledAction(nowNanos + Math.max(0, (long) (millis * 1e6)), lastOrder, action));
    }

    void runUntil(double endSeconds) {
        while (!queue.isEmpty() && queue.peek().dueNanos() / 1e9 - 1 <= endSeconds) {
            ScheduledAction next = queue.remove();
            nowNanos = next.dueNanos();
            next.action().run();
        }
    }

    private record ScheduledAction(long dueNanos, long order, Runnable action) {}
}
