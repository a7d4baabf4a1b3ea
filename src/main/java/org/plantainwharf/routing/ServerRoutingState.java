package org.plantainwharf.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.plantainwharf.admission.Destination;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerEntry;

/** Routing state of one backend server, in addition to its registry entry. Owned by the control thread. */
public final class ServerRoutingState {
    private ServerEntry entry;
    private Set<Destination> destinations = Set.of();
    private final Map<Destination, LatencyEstimate> latencyEstimates = new HashMap<>();
    private long reportNanos;
    private int inFlightAtReport;
    private boolean runsSuspect;
    private boolean hintsStale = true;
    private long cacheIncarnation;
    private long cacheSequence;
    private long cacheRequestedNanos = Long.MIN_VALUE;
    private long lastUsedNanos = Long.MIN_VALUE;

    private ServerRoutingState(ServerEntry entry) {
        this.entry = entry;
        this.reportNanos = entry.reportedAtNanos();
        this.inFlightAtReport = entry.inFlight();
    }

    static ServerRoutingState create(ServerEntry entry) {
        return new ServerRoutingState(entry);
    }

    /** Returns the server's registry entry. */
    public ServerEntry entry() {
        return entry;
    }

    /** Returns the number of this host's calls that the latest load report may include. */
    public int inFlightAtReport() {
        return inFlightAtReport;
    }

    /**
     * Returns the current load: the latest report, corrected by the attempts of this host that started or ended since.
     * Never less than the number of attempts that this host has in flight.
     */
    public int load() {
        LoadReport report = entry.announcement().load();
        int corrected = report.running() + report.queued() + entry.inFlight() - inFlightAtReport;
        return Math.max(entry.inFlight(), corrected);
    }

    /**
     * Returns the load to expect if the other hosts act like this one: attempts that this host has started since the
     * report count once for each host. All hosts see the same report and would otherwise choose the same server at the
     * same time.
     */
    double expectedLoad(int hosts) {
        int since = entry.inFlight() - inFlightAtReport;
        return since > 0 ? load() + (hosts - 1.0) * since : load();
    }

    /** Updates the entry and the load baseline if the entry or its report has changed. */
    void refresh(ServerEntry current) {
        if (current != entry || current.reportedAtNanos() != reportNanos) {
            entry = current;
            reportNanos = current.reportedAtNanos();
            inFlightAtReport = current.inFlight();
        }
    }

    Set<Destination> destinations() {
        return destinations;
    }

    void setDestinations(Set<Destination> values) {
        destinations = values;
        latencyEstimates.keySet().retainAll(values);
    }

    LatencyEstimate latencyEstimate(Destination destination, LatencyEstimate mean) {
        return latencyEstimates.computeIfAbsent(destination, key -> mean.copy());
    }

    /** Returns whether the server runs a suspect request of this host, which must run alone. */
    public boolean runsSuspect() {
        return runsSuspect;
    }

    void setRunsSuspect(boolean value) {
        runsSuspect = value;
    }

    /** Returns whether cache events were missed, so that the prefixes cached by the engine are unknown. */
    boolean hintsStale() {
        return hintsStale;
    }

    void setHintsStale(boolean value) {
        hintsStale = value;
    }

    long cacheIncarnation() {
        return cacheIncarnation;
    }

    long cacheSequence() {
        return cacheSequence;
    }

    void setCachePosition(long incarnation, long sequence) {
        cacheIncarnation = incarnation;
        cacheSequence = sequence;
    }

    long cacheRequestedNanos() {
        return cacheRequestedNanos;
    }

    void setCacheRequestedNanos(long value) {
        cacheRequestedNanos = value;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    void setLastUsedNanos(long value) {
        lastUsedNanos = value;
    }
}
