package org.plantainwharf.capacity;

/** Hosts, starts, prices and engine orders. Written by the controllers of this package. Owned by the control thread. */
public final class CapacitySection {
    private CapacitySection() {}

    /** Returns an empty section. */
    public static CapacitySection create() {
        return new CapacitySection();
    }
}
