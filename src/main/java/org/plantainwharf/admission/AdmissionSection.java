package org.plantainwharf.admission;

/** Queues of admitted calls by rank and client account. Written by the controllers of this package. Owned by the control thread. */
public final class AdmissionSection {
    private AdmissionSection() {}

    /** Returns an empty section. */
    public static AdmissionSection create() {
        return new AdmissionSection();
    }
}
