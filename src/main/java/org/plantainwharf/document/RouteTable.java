package org.plantainwharf.document;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/** Index of a service document that maps requests to routes and keys to accounts. Immutable. */
public final class RouteTable {
    private final ServiceDocument document;
    private final Map<String, List<RouteRule>> routesByHost;
    private final Map<String, AccountRule> accountsByKey = new HashMap<>();

    private RouteTable(ServiceDocument document) {
        this.document = document;
        Comparator<RouteRule> longestFirst =
                Comparator.comparingInt((RouteRule route) -> -route.pathPrefix().length());
        this.routesByHost = document.routes().stream()
                .sorted(longestFirst)
                .collect(Collectors.groupingBy(route -> route.host().toLowerCase(Locale.ROOT)));
        for (AccountRule account : document.accounts()) {
            account.keys().forEach(key -> accountsByKey.put(key, account));
        }
    }

    /** Builds the table of a document. */
    public static RouteTable of(ServiceDocument document) {
        return new RouteTable(document);
    }

    public ServiceDocument document() {
        return document;
    }

    /** Returns the host's route with the longest prefix of the path; empty if none matches. Ignores the host's case. */
    public Optional<RouteRule> route(String host, String path) {
        return routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the account with a key; empty if the key is unknown. */
    public Optional<AccountRule> account(String key) {
        @Nullable AccountRule account = accountsByKey.get(key);
        return Optional.ofNullable(account);
    }

    /** Returns whether routes require an account key, except those that accept requests without one. */
    public boolean requiresKeys() {
        return !document.accounts().isEmpty();
    }
}
