package org.plantainwharf.document;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.plantainwharf.difference.RowChange;
import org.plantainwharf.difference.RowComparison;
import org.plantainwharf.record.Digests;

/**
 * The changes between two service documents, in the order routes, services, accounts, bounds, each sorted by name. Account
 * keys are shown as their number and a digest of all of them. Immutable.
 *
 * @param versionBefore version of the first document
 * @param versionAfter version of the second document
 * @param changes added, removed and changed entries; empty if the contents are equal
 */
public record DocumentDifference(long versionBefore, long versionAfter, List<RowChange> changes) {
    private static final int DISPLAYED_DIGEST_CHARACTERS = 12;

    /** Copies the list. */
    public DocumentDifference {
        changes = List.copyOf(changes);
    }

    /** Compares two documents. */
    public static DocumentDifference between(ServiceDocument before, ServiceDocument after) {
        List<RowChange> changes = new ArrayList<>();
        RowComparison.compare("route ", routes(before), routes(after), DocumentDifference::fields, changes);
        RowComparison.compare(
                "service ",
                RowComparison.rowsByName(
                        before.services().values(), service -> service.name().value()),
                RowComparison.rowsByName(
                        after.services().values(), service -> service.name().value()),
                DocumentDifference::fields,
                changes);
        RowComparison.compare(
                "account ",
                RowComparison.rowsByName(
                        before.accounts(), account -> account.name().value()),
                RowComparison.rowsByName(
                        after.accounts(), account -> account.name().value()),
                DocumentDifference::fields,
                changes);
        RowComparison.compare(
                "",
                Map.of("bounds of callers", before.bounds()),
                Map.of("bounds of callers", after.bounds()),
                DocumentDifference::fields,
                changes);
        return new DocumentDifference(before.version(), after.version(), changes);
    }

    /** Returns the routes by name; those that share one by name, host and prefix. */
    private static Map<String, RouteRule> routes(ServiceDocument document) {
        Map<String, Long> names = document.routes().stream()
                .collect(Collectors.groupingBy(route -> route.name().value(), Collectors.counting()));
        Map<String, RouteRule> routes = new TreeMap<>();
        for (RouteRule route : document.routes()) {
            String name = route.name().value();
            boolean unique = names.getOrDefault(name, 0L) == 1;
            routes.put(unique ? name : name + " " + route.host() + route.pathPrefix(), route);
        }
        return routes;
    }

    private static Map<String, String> fields(RouteRule route) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("host", route.host());
        fields.put("prefix", route.pathPrefix());
        fields.put("kind", route.repeatability().name());
        fields.put("timeout ms", String.valueOf(route.timeoutMillis()));
        fields.put("target latency ms", String.valueOf(route.targetLatencyMillis()));
        fields.put("priority", String.valueOf(route.priority()));
        fields.put(
                "services",
                route.split().stream()
                        .map(share -> share.service() + " " + share.weight())
                        .collect(Collectors.joining(", ")));
        fields.put("maximum attempts", String.valueOf(route.maximumAttempts()));
        fields.put("without key", yesOrNo(route.allowsAnonymous()));
        fields.put("resumable", yesOrNo(route.resumable()));
        fields.put("target between events ms", String.valueOf(route.targetEventIntervalMillis()));
        return fields;
    }

    private static Map<String, String> fields(ServiceRule service) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("connections", String.valueOf(service.maximumConnections()));
        fields.put(
                "engine",
                service.engine()
                        .map(engine -> engine.slots() + " slots, " + engine.memoryCapacityTokens() + " tokens")
                        .orElse("none"));
        fields.put("servers", service.scaling().map(DocumentDifference::text).orElse("not ordered"));
        return fields;
    }

    private static String text(ServiceRule.Scaling scaling) {
        return scaling.minimumServers() + " to " + scaling.maximumServers() + " a zone, start "
                + scaling.startupMillis() + " ms, reclaimable at " + scaling.reclaimablePriceRatio() + ", prices "
                + new TreeMap<>(scaling.zonePrices().entrySet().stream()
                        .collect(Collectors.toMap(price -> price.getKey().value(), Map.Entry::getValue)));
    }

    private static Map<String, String> fields(AccountRule account) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("keys", keysText(account.keys()));
        fields.put(
                "priority",
                account.priority().isPresent()
                        ? String.valueOf(account.priority().getAsLong())
                        : "route's");
        fields.put("limit counts", account.limitCountsTokens() ? "tokens" : "requests");
        fields.put("tokens without prompt", String.valueOf(account.defaultTokens()));
        fields.put("rate a second", String.valueOf(account.ratePerSecond()));
        fields.put("burst", String.valueOf(account.burst()));
        return fields;
    }

    private static String keysText(Collection<String> keys) {
        String all = keys.stream().sorted().collect(Collectors.joining("\n"));
        String digest = Digests.sha256(all.getBytes(StandardCharsets.UTF_8));
        return keys.size() + " with digest " + digest.substring(0, DISPLAYED_DIGEST_CHARACTERS) + "...";
    }

    private static Map<String, String> fields(CallerBounds bounds) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("header bytes", String.valueOf(bounds.maximumHeaderBytes()));
        fields.put("body bytes", String.valueOf(bounds.maximumBodyBytes()));
        fields.put("header timeout ms", String.valueOf(bounds.headerTimeoutMillis()));
        fields.put("idle timeout ms", String.valueOf(bounds.idleTimeoutMillis()));
        return fields;
    }

    private static String yesOrNo(boolean value) {
        return value ? "yes" : "no";
    }
}
