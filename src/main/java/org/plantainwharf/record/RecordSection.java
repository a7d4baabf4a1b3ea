package org.plantainwharf.record;

/** Orders and accepted work that this host takes part in. Written by the controllers of this package. Owned by the control thread. */
public final class RecordSection {
    private RecordSection() {}

    /** Returns an empty section. */
    public static RecordSection create() {
        return new RecordSection();
    }
}
