package org.plantainwharf.sheet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.plantainwharf.identity.RankName;

/**
 * The changes between two sheets, in the order accounts, ranks, routes, budgets, each sorted by name. Key digests are
 * truncated, since a prefix suffices to distinguish them. Immutable.
 *
 * @param versionBefore version of the first sheet
 * @param versionAfter version of the second sheet
 * @param changes added, removed and changed rows; empty if the contents are equal
 */
public record SheetDifference(long versionBefore, long versionAfter, List<SheetChange> changes) {
    private static final int DISPLAYED_DIGEST_CHARACTERS = 12;

    /** Copies the list. */
    public SheetDifference {
        changes = List.copyOf(changes);
    }

    /** Compares two sheets. */
    public static SheetDifference between(Sheet before, Sheet after) {
        List<SheetChange> changes = new ArrayList<>();
        compare(
                "account ",
                rowsByName(before.accounts().values(), account -> account.name().value()),
                rowsByName(after.accounts().values(), account -> account.name().value()),
                SheetDifference::fields,
                changes);
        compare(
                "rank ",
                rowsByName(before.ranks().values(), rank -> rank.name().value()),
                rowsByName(after.ranks().values(), rank -> rank.name().value()),
                SheetDifference::fields,
                changes);
        compare(
                "route ",
                rowsByName(before.routes().values(), route -> route.name().value()),
                rowsByName(after.routes().values(), route -> route.name().value()),
                SheetDifference::fields,
                changes);
        compare(
                "budget ",
                rowsByName(before.budgets(), SheetDifference::budgetName),
                rowsByName(after.budgets(), SheetDifference::budgetName),
                SheetDifference::fields,
                changes);
        return new SheetDifference(before.version(), after.version(), changes);
    }

    /** Returns whether the contents are equal; the versions may still differ. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    private static <T> Map<String, T> rowsByName(Iterable<T> values, Function<? super T, String> name) {
        Map<String, T> rows = new TreeMap<>();
        values.forEach(value -> rows.put(name.apply(value), value));
        return rows;
    }

    private static <T> void compare(
            String prefix,
            Map<String, T> before,
            Map<String, T> after,
            Function<? super T, Map<String, String>> fields,
            List<SheetChange> changes) {
        SortedSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            T oldRow = before.get(name);
            T newRow = after.get(name);
            if (oldRow == null && newRow != null) {
                changes.add(new SheetChange.Added(prefix + name, formatFields(fields.apply(newRow))));
            } else if (oldRow != null && newRow == null) {
                changes.add(new SheetChange.Removed(prefix + name, formatFields(fields.apply(oldRow))));
            } else if (oldRow != null && newRow != null) {
                Map<String, String> newFields = fields.apply(newRow);
                fields.apply(oldRow).forEach((field, oldValue) -> {
                    String newValue = newFields.getOrDefault(field, "");
                    if (!oldValue.equals(newValue)) {
                        changes.add(new SheetChange.Changed(prefix + name, field, oldValue, newValue));
                    }
                });
            }
        }
    }

    private static String formatFields(Map<String, String> fields) {
        return fields.entrySet().stream()
                .map(field -> field.getKey() + " " + field.getValue())
                .collect(Collectors.joining(", "));
    }

    private static String budgetName(Budget budget) {
        return budget.zone().value() + "/" + budget.hostClass().value();
    }

    private static Map<String, String> fields(ClientAccount account) {
        Map<String, String> fields = new LinkedHashMap<>();
        String digest = account.keyDigest();
        fields.put("key digest", digest.substring(0, Math.min(DISPLAYED_DIGEST_CHARACTERS, digest.length())) + "...");
        fields.put("weight", String.valueOf(account.weight()));
        fields.put("requests per second", String.valueOf(account.requestsPerSecond()));
        fields.put(
                "ranks", account.ranks().stream().map(RankName::value).sorted().collect(Collectors.joining(" ")));
        return fields;
    }

    private static Map<String, String> fields(Rank rank) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("latency target ms", String.valueOf(rank.latencyTargetMillis()));
        fields.put("deadline ms", String.valueOf(rank.deadlineMillis()));
        fields.put("worth", String.valueOf(rank.worth()));
        fields.put("floor share", String.valueOf(rank.floorShare()));
        return fields;
    }

    private static Map<String, String> fields(Route route) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("rank", route.rank().value());
        fields.put("repeatable", route.repeatable() ? "yes" : "no");
        return fields;
    }

    private static Map<String, String> fields(Budget budget) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("price per hour", String.valueOf(budget.pricePerHour()));
        fields.put("maximum per hour", String.valueOf(budget.maximumPerHour()));
        fields.put("reclaimable", budget.reclaimable() ? "yes" : "no");
        return fields;
    }
}
