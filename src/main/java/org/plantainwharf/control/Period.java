package org.plantainwharf.control;

/** Says when work that is repeated after a fixed time is due. Used by one thread. */
public final class Period {
    private final long periodNanos;
    private long nextDueNanos;
    private boolean started;

    private Period(long periodNanos) {
        this.periodNanos = periodNanos;
    }

    /** Returns a period that is due at once for the first time. */
    public static Period ofNanos(long periodNanos) {
        return new Period(periodNanos);
    }

    /** Says whether the work is due, and if so begins the next period. */
    public boolean due(long nowNanos) {
        if (started && nowNanos - nextDueNanos < 0) {
            return false;
        }
        started = true;
        nextDueNanos = nowNanos + periodNanos;
        return true;
    }
}
