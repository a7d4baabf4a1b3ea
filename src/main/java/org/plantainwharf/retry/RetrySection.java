package org.plantainwharf.retry;

/** Retry budget and reasons. Written by the controllers of this package. Owned by the control thread. */
public final class RetrySection {
    private RetrySection() {}

    /** Returns an empty section. */
    public static RetrySection create() {
        return new RetrySection();
    }
}
