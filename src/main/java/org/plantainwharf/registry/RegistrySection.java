package org.plantainwharf.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.replicated.Departure;

/**
 * Backend servers and their newest reports. Invariants: a report that is not newer than the current one changes
 * nothing; a server that was leaving or gone does not become ready again within the same start, and one whose departure
 * is recorded not even after its reports were forgotten; an address belongs to at most one server that is not gone; no
 * operation on one report takes longer with more servers; a
 * server that has stated its software version keeps it within the same start when a report states none. Written by the
 * registry controller. Owned by the control thread.
 */
public final class RegistrySection {
    private final Map<ServerId, KnownServer> servers = new LinkedHashMap<>();
    /** The server that is not gone at each address. */
    private final Map<String, ServerId> byAddress = new HashMap<>();
    /** The ready servers of each service, in the order in which they became ready. */
    private final Map<ServiceName, Map<ServerId, KnownServer>> ready = new HashMap<>();

    private final Set<ServerId> refreshed = new HashSet<>();
    /** The newest departure of each server, in the order in which they were recorded. */
    private final Map<ServerId, Departure> departures = new LinkedHashMap<>();

    private RegistrySection() {}

    /** Returns a section without servers. */
    public static RegistrySection create() {
        return new RegistrySection();
    }

    /** Returns all known servers, including those that are gone. */
    public Collection<KnownServer> servers() {
        return servers.values();
    }

    /** Returns the servers of a service that accept new work according to their newest reports. */
    public Collection<KnownServer> readyServers(ServiceName service) {
        return ready.getOrDefault(service, Map.of()).values();
    }

    /** Returns a server; empty if it is unknown. */
    public Optional<KnownServer> server(ServerId id) {
        return Optional.ofNullable(servers.get(id));
    }

    /** Returns the newest report of every known server. */
    public List<ServerReport> reports() {
        return servers.values().stream().map(KnownServer::report).toList();
    }

    /** What a report changed. */
    public enum Change {
        /** Nothing: the report is late, or a server that started later has its address. */
        NONE,
        /** Only details that change with each report, such as its time and its sequence. */
        REFRESHED,
        /** Something that server selection depends on, such as the phase or the address. */
        MATERIAL
    }

    /** Merges a report. For the registry controller. */
    Change merge(ServerReport reported, long nowNanos) {
        ServerReport report = afterDeparture(reported);
        @Nullable KnownServer known = servers.get(report.server());
        if (known != null && !report.newerThan(known.report())) {
            return Change.NONE;
        }
        if (report.phase() != ServerPhase.GONE && resolveAddressConflict(report)) {
            return Change.NONE;
        }
        if (known == null || known.report().startEpochMillis() != report.startEpochMillis()) {
            put(new KnownServer(report, nowNanos, nowNanos));
            return Change.MATERIAL;
        }
        ServerPhase currentPhase = known.report().phase();
        ServerReport merged = currentPhase.compareTo(report.phase()) > 0 ? report.withPhase(currentPhase) : report;
        if (!merged.version().stated()) {
            merged = merged.withVersion(known.report().version());
        }
        put(new KnownServer(merged, known.firstReportNanos(), nowNanos));
        return isMaterial(known.report(), merged) ? Change.MATERIAL : Change.REFRESHED;
    }

    /**
     * Records a departure and puts it in force. Returns whether the phase of a known server changed. For the registry
     * controller.
     */
    boolean depart(Departure departure) {
        @Nullable Departure recorded = departures.get(departure.server());
        if (recorded != null && recorded.covers(departure)) {
            return false;
        }
        departures.remove(departure.server());
        departures.put(departure.server(), departure);
        if (departures.size() > Departure.MAXIMUM_REMEMBERED) {
            departures.remove(departures.keySet().iterator().next());
        }
        @Nullable KnownServer known = servers.get(departure.server());
        if (known == null) {
            return false;
        }
        ServerReport departed = afterDeparture(known.report());
        put(new KnownServer(departed, known.firstReportNanos(), known.lastReportNanos()));
        return departed.phase() != known.report().phase();
    }

    /** Returns the report with the phase of the server's recorded departure, if that is of this start or a later one. */
    private ServerReport afterDeparture(ServerReport report) {
        @Nullable Departure departure = departures.get(report.server());
        if (departure == null || departure.startEpochMillis() < report.startEpochMillis()) {
            return report;
        }
        ServerPhase phase = departure.deregistered() ? ServerPhase.GONE : ServerPhase.LEAVING;
        return report.phase().compareTo(phase) >= 0 ? report : report.withPhase(phase);
    }

    /**
     * Returns whether a server that started later has the report's address. Otherwise marks another server with this
     * address as gone. If the start times are equal or both missing, the newest report wins.
     */
    private boolean resolveAddressConflict(ServerReport report) {
        @Nullable ServerId holder = byAddress.get(report.address());
        @Nullable KnownServer other = holder == null ? null : servers.get(holder);
        if (other == null || other.report().server().equals(report.server())) {
            return false;
        }
        if (other.report().startEpochMillis() > report.startEpochMillis()) {
            return true;
        }
        put(new KnownServer(
                other.report().withPhase(ServerPhase.GONE), other.firstReportNanos(), other.lastReportNanos()));
        return false;
    }

    private void put(KnownServer server) {
        ServerReport report = server.report();
        @Nullable KnownServer former = servers.put(report.server(), server);
        if (former != null && !former.report().address().equals(report.address())) {
            byAddress.remove(former.report().address(), report.server());
        }
        if (report.phase() == ServerPhase.GONE) {
            byAddress.remove(report.address(), report.server());
        } else {
            byAddress.put(report.address(), report.server());
        }
        if (former != null && !(server.ready() && former.report().service().equals(report.service()))) {
            removeReady(former);
        }
        if (server.ready()) {
            ready.computeIfAbsent(report.service(), service -> new LinkedHashMap<>())
                    .put(report.server(), server);
        }
    }

    private void removeReady(KnownServer server) {
        ready.computeIfPresent(server.report().service(), (service, members) -> {
            members.remove(server.report().server());
            return members.isEmpty() ? null : members;
        });
    }

    private static boolean isMaterial(ServerReport before, ServerReport after) {
        return before.phase() != after.phase()
                || !before.service().equals(after.service())
                || !before.address().equals(after.address())
                || before.slots() != after.slots()
                || !before.version().equals(after.version())
                || before.reclaimable() != after.reclaimable()
                || before.millisUntilReclaim().isPresent()
                        != after.millisUntilReclaim().isPresent();
    }

    /** Removes servers that have not reported for the given time. For the registry controller. */
    void removeExpired(long nowNanos, long expiryNanos) {
        servers.values().removeIf(server -> {
            boolean expired = server.nanosSinceLastReport(nowNanos) >= expiryNanos;
            if (expired) {
                byAddress.remove(server.report().address(), server.report().server());
                removeReady(server);
            }
            return expired;
        });
    }

    /** Marks a server for the next relay of refreshed reports. For the registry controller. */
    void markRefreshed(ServerId server) {
        refreshed.add(server);
    }

    /** Returns the newest reports of the marked servers and clears the marks. For the registry controller. */
    List<ServerReport> takeRefreshedReports() {
        List<ServerReport> reports = new ArrayList<>();
        for (ServerId server : refreshed) {
            Optional.ofNullable(servers.get(server)).map(KnownServer::report).ifPresent(reports::add);
        }
        refreshed.clear();
        return reports;
    }
}
