package org.plantainwharf.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time with a queue of actions; equal times run in order of scheduling. Not thread-safe. */
final class VirtualClock {
    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atNanos).thenComparingLong(Scheduled::order));
    private long nowNanos = 1_000_000_000L;
    private long order;

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

    void after(double millis, Runnable action) {
        order++;
        queue.add(new Scheduled(nowNanos + Math.max(0, (long) (millis * 1e6)), order, action));
    }

    void runUntil(double endSeconds) {
        while (!queue.isEmpty() && queue.peek().atNanos() / 1e9 - 1 <= endSeconds) {
            Scheduled next = queue.remove();
            nowNanos = next.atNanos();
            next.action().run();
        }
    }

    private record Scheduled(long atNanos, long order, Runnable action) {}
}
