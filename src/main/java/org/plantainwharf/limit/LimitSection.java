package org.plantainwharf.limit;

/** Shares of account limits. Written by the controllers of this package. Owned by the control thread. */
public final class LimitSection {
    private LimitSection() {}

    /** Returns an empty section. */
    public static LimitSection create() {
        return new LimitSection();
    }
}
