package org.plantainwharf.alarm;

/** Alarms raised. Written by the controllers of this package. Owned by the control thread. */
public final class AlarmSection {
    private AlarmSection() {}

    /** Returns an empty section. */
    public static AlarmSection create() {
        return new AlarmSection();
    }
}
