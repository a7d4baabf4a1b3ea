package org.plantainwharf.quarantine;

import org.plantainwharf.identity.Fingerprint;

/** Suspect requests and quarantined fingerprints. Written by the controllers of this package. Owned by the control thread. */
public final class QuarantineSection {
    private QuarantineSection() {}

    /** Returns an empty section. */
    public static QuarantineSection create() {
        return new QuarantineSection();
    }

    /** Says whether calls with this content are refused. */
    public boolean isQuarantined(Fingerprint fingerprint, long wallClockMillis) {
        return false;
    }

    /** Says whether calls with this content must run alone on a server. */
    public boolean isSuspect(Fingerprint fingerprint, long nowNanos) {
        return false;
    }

    /** Says whether calls with this content must wait, because it is open whether they crashed servers. */
    public boolean holds(Fingerprint fingerprint, long nowNanos) {
        return false;
    }
}
