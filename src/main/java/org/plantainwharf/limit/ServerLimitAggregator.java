package org.plantainwharf.limit;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.message.ServerLimitShare;
import org.plantainwharf.message.ServerLimitUse;

/**
 * Request limits of servers as reported by all entry daemons, and their division. Every control daemon aggregates the
 * reports, so that a new leader continues with them. Owned by the control thread.
 */
final class ServerLimitAggregator {
    /** Minimum fraction of a limit that is divided evenly, so that every daemon has a share when its demand jumps. */
    private static final double EVEN_FRACTION = 0.15;

    /** Time after which a limit that no daemon reports any more is forgotten. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Map<HostId, Map<ServerId, ServerLimitUse>> reports = new HashMap<>();
    private final Map<ServerId, NamedLimit> limits = new HashMap<>();

    /** The limit in the newest answer that any daemon has passed on. Immutable. */
    private record NamedLimit(OptionalDouble requestsPerSecond, long namedNanos) {}

    /** Replaces what an entry daemon reported before. */
    void addReport(HostId host, Map<ServerId, ServerLimitUse> report, long nowNanos) {
        reports.put(host, report);
        report.forEach((server, use) -> {
            if (use.ageMillis() >= 0) {
                long namedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(use.ageMillis());
                @Nullable NamedLimit known = limits.get(server);
                if (known == null || namedNanos - known.namedNanos() > 0) {
                    limits.put(server, new NamedLimit(use.requestsPerSecond(), namedNanos));
                }
            }
        });
    }

    /** Returns the shares of the given hosts in every limit. The fractions of a limit add up to 1. */
    Map<HostId, Map<ServerId, ServerLimitShare>> shares(List<HostId> hosts, long nowNanos) {
        reports.keySet().retainAll(hosts);
        Set<ServerId> reported = new HashSet<>();
        reports.values().forEach(report -> reported.addAll(report.keySet()));
        limits.entrySet()
                .removeIf(entry -> !reported.contains(entry.getKey())
                        && nowNanos - entry.getValue().namedNanos() > EXPIRY_NANOS);
        Map<HostId, Map<ServerId, ServerLimitShare>> shares = new LinkedHashMap<>();
        hosts.forEach(host -> shares.put(host, new HashMap<>()));
        limits.forEach((server, limit) -> divide(server, limit, hosts, shares, nowNanos));
        shares.replaceAll(this::limitToMessage);
        return shares;
    }

    /** Keeps the servers that the host has reported, and others up to the size of a message. */
    private Map<ServerId, ServerLimitShare> limitToMessage(HostId host, Map<ServerId, ServerLimitShare> shares) {
        if (shares.size() <= ServerLimitSection.MAXIMUM_REPORTED_LIMITS) {
            return shares;
        }
        Map<ServerId, ServerLimitUse> report = reports.getOrDefault(host, Map.of());
        Map<ServerId, ServerLimitShare> kept = new HashMap<>();
        shares.entrySet().stream()
                .sorted(Comparator.comparing(
                                (Map.Entry<ServerId, ServerLimitShare> entry) -> !report.containsKey(entry.getKey()))
                        .thenComparing(entry -> entry.getKey().value()))
                .limit(ServerLimitSection.MAXIMUM_REPORTED_LIMITS)
                .forEach(entry -> kept.put(entry.getKey(), entry.getValue()));
        return kept;
    }

    private void divide(
            ServerId server,
            NamedLimit limit,
            Collection<HostId> hosts,
            Map<HostId, Map<ServerId, ServerLimitShare>> shares,
            long nowNanos) {
        double totalDemand =
                hosts.stream().mapToDouble(host -> demand(host, server)).sum();
        double evenFraction = totalDemand > 0 ? EVEN_FRACTION : 1;
        long ageMillis = (nowNanos - limit.namedNanos()) / 1_000_000;
        shares.forEach((host, hostShares) -> {
            double byDemand = totalDemand > 0 ? (1 - EVEN_FRACTION) * demand(host, server) / totalDemand : 0;
            hostShares.put(
                    server,
                    new ServerLimitShare(limit.requestsPerSecond(), ageMillis, evenFraction / hosts.size() + byDemand));
        });
    }

    private double demand(HostId host, ServerId server) {
        @Nullable ServerLimitUse use = reports.getOrDefault(host, Map.of()).get(server);
        return use == null ? 0 : use.demandPerSecond();
    }
}
