package org.plantainwharf.document;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/** Finds the route and the account of a request. Immutable. */
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

    /** Returns the table of a document. */
    public static RouteTable of(ServiceDocument document) {
        return new RouteTable(document);
    }

    /** Returns the document. */
    public ServiceDocument document() {
        return document;
    }

    /** Returns the route with the longest prefix that begins the path, among those of the host. */
    public Optional<RouteRule> route(String host, String path) {
        return routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** Returns the account that holds a key. */
    public Optional<AccountRule> account(String key) {
        @Nullable AccountRule account = accountsByKey.get(key);
        return Optional.ofNullable(account);
    }

    /** Says whether requests on routes that are not open need a key. */
    public boolean requiresKeys() {
        return !document.accounts().isEmpty();
    }
}
