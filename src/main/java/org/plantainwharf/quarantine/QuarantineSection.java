package org.plantainwharf.quarantine;

/** Suspect requests and quarantined fingerprints. Written by the controllers of this package. Owned by the control thread. */
public final class QuarantineSection {
    private QuarantineSection() {}

    /** Returns an empty section. */
    public static QuarantineSection create() {
        return new QuarantineSection();
    }
}
