package org.plantainwharf.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
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
    private final Map<Fingerprint, Long> lastSentNanos = new HashMap<>();
    private final Set<Fingerprint> answeringContents = new HashSet<>();
    private boolean probed;
    private boolean confirmed;

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

    /**
     * Adds a content of a lost request; returns whether no lost request with it was known before.
     *
     * @param answering whether the server had begun to answer the request
     */
    boolean addLost(Fingerprint content, long sentNanos, boolean answering) {
        lastSentNanos.merge(content, sentNanos, Math::max);
        if (answering) {
            answeringContents.add(content);
        }
        return lostRequests.add(content);
    }

    /** Returns whether the server had begun to answer a lost request with this content. */
    boolean wasAnswering(Fingerprint content) {
        return answeringContents.contains(content);
    }

    /** Returns when the last of the lost requests with this content was sent. */
    long lastSentNanos(Fingerprint content) {
        return lastSentNanos.getOrDefault(content, Long.MIN_VALUE);
    }

    /** Returns whether the process was found to be gone. */
    boolean confirmed() {
        return confirmed;
    }

    /** Marks the server as probed; returns whether it was not before. */
    boolean markProbed() {
        boolean first = !probed;
        probed = true;
        return first;
    }

    void confirm() {
        confirmed = true;
    }

    long sinceNanos() {
        return sinceNanos;
    }

    /** Returns the fingerprints of the requests whose connections were lost, or of their contents. */
    Set<Fingerprint> lostRequests() {
        return lostRequests;
    }
}
