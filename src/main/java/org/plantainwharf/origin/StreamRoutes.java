package org.plantainwharf.origin;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.plantainwharf.board.Board;
import org.plantainwharf.configuration.ControlState;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.identity.ServiceName;

/**
 * The routes of a document whose streams may be taken up, and the services at which these may begin. Immutable.
 *
 * @param routes equal in two documents that lead the same streams to the same services
 */
record StreamRoutes(Set<Target> routes) {
    /** Callers return within a minute: a stream that broke off earlier is not taken up. */
    private static final long MINIMUM_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** A route and its services. */
    record Target(String host, String pathPrefix, Set<ServiceName> services) {}

    /** Copies the set. */
    StreamRoutes {
        routes = Set.copyOf(routes);
    }

    static StreamRoutes of(Optional<ServiceDocument> document) {
        return new StreamRoutes(document.stream()
                .flatMap(content -> content.routes().stream())
                .filter(RouteRule::mayResumeStream)
                .map(route -> new Target(route.host(), route.pathPrefix(), services(route)))
                .collect(Collectors.toSet()));
    }

    /** Returns the services to which a route leads requests. */
    static Set<ServiceName> services(RouteRule route) {
        return route.split().stream()
                .filter(share -> share.weight() > 0)
                .map(RouteRule.Share::service)
                .collect(Collectors.toSet());
    }

    /** Returns the services of routes whose streams may have begun at more than one version or service. */
    Set<ServiceName> servicesOfSeveralOrigins(ControlState state) {
        Set<ServiceName> several = new HashSet<>();
        for (Target route : routes) {
            long origins = route.services().stream()
                    .mapToLong(service -> state.listedVersions(service).size())
                    .sum();
            if (origins > 1) {
                several.addAll(route.services());
            }
        }
        return several;
    }

    /**
     * Returns the longest time from the first event of a stream until a caller takes it up for the last time: a request
     * ends with the timeout of its route, and a caller that waits longer than that again has given up.
     */
    static long retentionNanos(Board board) {
        long longestTimeoutMillis = board.documents().document().stream()
                .flatMap(document -> document.routes().stream())
                .mapToLong(RouteRule::timeoutMillis)
                .max()
                .orElse(0);
        return Math.max(MINIMUM_RETENTION_NANOS, TimeUnit.MILLISECONDS.toNanos(2 * longestTimeoutMillis));
    }
}
