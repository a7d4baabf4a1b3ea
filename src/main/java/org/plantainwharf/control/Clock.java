package org.plantainwharf.control;

/** The time that the control thread gives to controllers. Thread-safe. */
public interface Clock {
    /** Returns the time on the host's monotonic clock, in nanoseconds. */
    long nowNanos();

    /** Returns the time in milliseconds since the epoch; may jump. */
    long wallClockMillis();

    /** Returns the clock of this process. */
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
