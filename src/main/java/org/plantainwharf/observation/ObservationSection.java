package org.plantainwharf.observation;

/**
 * Section of the board, the state owned by the control thread, on what this daemon and others have seen of backend servers.
 * Owned by the control thread; written by the controllers of this package.
 */
public final class ObservationSection {
    private ObservationSection() {}

    /** Returns an empty section. */
    public static ObservationSection create() {
        return new ObservationSection();
    }
}
