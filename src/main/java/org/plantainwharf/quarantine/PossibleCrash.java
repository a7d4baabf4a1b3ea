package org.plantainwharf.quarantine;

import java.util.LinkedHashSet;
import java.util.Set;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.ServerId;

/**
 * Connections lost to one process of a backend server while it is not known whether the process crashed. Owned by the
 * control thread.
 */
final class PossibleCrash {
    private final ServerId server;
    private final long incarnation;
    private final AvailabilityZone zone;
    private final boolean ranAlone;
    private final long sinceNanos;
    private final Set<Fingerprint> lostRequests = new LinkedHashSet<>();

    private PossibleCrash(ServerId server, long incarnation, AvailabilityZone zone, boolean ranAlone, long sinceNanos) {
        this.server = server;
        this.incarnation = incarnation;
        this.zone = zone;
        this.ranAlone = ranAlone;
        this.sinceNanos = sinceNanos;
    }

    static PossibleCrash create(
            ServerId server, long incarnation, AvailabilityZone zone, boolean ranAlone, long sinceNanos) {
        return new PossibleCrash(server, incarnation, zone, ranAlone, sinceNanos);
    }

    ServerId server() {
        return server;
    }

    long incarnation() {
        return incarnation;
    }

    AvailabilityZone zone() {
        return zone;
    }

    /** Returns whether no other call was known to run on the server when the first connection was lost. */
    boolean ranAlone() {
        return ranAlone;
    }

    long sinceNanos() {
        return sinceNanos;
    }

    /** Returns the fingerprints of the requests whose connections were lost. */
    Set<Fingerprint> lostRequests() {
        return lostRequests;
    }
}
