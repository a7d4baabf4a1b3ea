package org.plantainwharf.control;

/** Says when work that is repeated after a fixed time is due. Used by one thread. */
public final class Period {
    private final long nanos;
    private long nextNanos;
    private boolean begun;

    private Period(long nanos) {
        this.nanos = nanos;
    }

    /** Returns a period that is due at once for the first time. */
    public static Period ofNanos(long nanos) {
        return new Period(nanos);
    }

    /** Says whether the work is due, and if so begins the next period. */
    public boolean due(long nowNanos) {
        if (begun && nowNanos - nextNanos < 0) {
            return false;
        }
        begun = true;
        nextNanos = nowNanos + nanos;
        return true;
    }
}
