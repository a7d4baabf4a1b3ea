package org.plantainwharf.control;

/** Source of the time that the control thread passes to controllers. Thread-safe. */
public interface Clock {
    /** Returns the time on the host's monotonic clock, in nanoseconds. */
    long nowNanos();

    /** Returns the time in milliseconds since the epoch. It may jump. */
    long wallClockMillis();

    /** Returns a clock that reads the system time. */
    static Clock system() {
        return new Clock() {
            @Override
            public long nowNanos() {
                return System.nanoTime();
            }

            @Override
            public long wallClockMillis() {
                return System.currentTimeMillis();
            }
        };
    }
}
