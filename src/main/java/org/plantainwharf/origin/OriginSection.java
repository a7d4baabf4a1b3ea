package org.plantainwharf.origin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.effect.Effects;
import org.plantainwharf.identity.ServiceName;

/**
 * Origins of streams, by the attempt that brought the first event, and the questions about others that are not answered
 * yet. Invariant: a record says what a server sent; none is derived from which servers are known. Owned by the control
 * thread; written by the controllers of this package.
 */
public final class OriginSection {
    private final OriginRecords records = new OriginRecords();
    private final Map<OriginLookup.Question, OriginLookup> lookups = new HashMap<>();
    private final Set<ServiceName> recordedServices = new HashSet<>();
    private int waitingRequests;

    private OriginSection() {}

    /** Returns a section without origins. */
    public static OriginSection create() {
        return new OriginSection();
    }

    /** Returns the origin of the stream that this attempt began; empty if this daemon does not know it or it is doubtful. */
    public Optional<StreamOrigin> origin(String attempt) {
        return records.find(OriginKey.of(attempt)).filter(origin -> !origin.doubtful());
    }

    OriginRecords records() {
        return records;
    }

    /** Keeps a record and counts it. */
    void keep(String key, StreamOrigin origin, long nowNanos, Effects effects) {
        effects.count("origin.records_kept");
        if (records.keep(key, origin, nowNanos)) {
            effects.count("origin.records_dropped");
        }
    }

    Map<OriginLookup.Question, OriginLookup> lookups() {
        return lookups;
    }

    /** Returns the services whose records are passed on to control daemons. */
    Set<ServiceName> recordedServices() {
        return recordedServices;
    }

    int waitingRequests() {
        return waitingRequests;
    }

    void addWaitingRequests(int change) {
        waitingRequests += change;
    }
}
