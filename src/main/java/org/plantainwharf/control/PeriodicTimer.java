package org.plantainwharf.control;

/** Determines when periodic work is due. Not thread-safe. */
public final class PeriodicTimer {
    private final long periodNanos;
    private long nextDueNanos;
    private boolean started;

    private PeriodicTimer(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /** Returns an instance whose first period is due immediately. */
    public static PeriodicTimer ofNanos(long periodNanos) {
        return new PeriodicTimer(periodNanos);
    }

    /**
     * Returns whether the work is due and, if so, starts the next period.
     *
     * @param nowNanos the time on the host's monotonic clock, in nanoseconds
     */
    public boolean startIfDue(long nowNanos) {
        if (started && nowNanos - nextDueNanos < 0) {
            return false;
        }
        started = true;
        nextDueNanos = nowNanos + periodNanos;
        return true;
    }
}
