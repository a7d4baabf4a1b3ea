package org.plantainwharf.sheet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.plantainwharf.difference.RowChange;
import org.plantainwharf.difference.RowComparison;
import org.plantainwharf.identity.RankName;

/**
 * The changes between two sheets, in the order accounts, ranks, routes, budgets, each sorted by name. Key digests are
 * truncated, since a prefix suffices to distinguish them. Immutable.
 *
 * @param versionBefore version of the first sheet
 * @param versionAfter version of the second sheet
 * @param changes added, removed and changed rows; empty if the contents are equal
 */
public record SheetDifference(long versionBefore, long versionAfter, List<RowChange> changes) {
    private static final int DISPLAYED_DIGEST_CHARACTERS = 12;

    /** Copies the list. */
    public SheetDifference {
        changes = List.copyOf(changes);
    }

    /** Compares two sheets. */
    public static SheetDifference between(Sheet before, Sheet after) {
        List<RowChange> changes = new ArrayList<>();
        RowComparison.compare(
                "account ",
                RowComparison.rowsByName(
                        before.accounts().values(), account -> account.name().value()),
                RowComparison.rowsByName(
                        after.accounts().values(), account -> account.name().value()),
                SheetDifference::fields,
                changes);
        RowComparison.compare(
                "rank ",
                RowComparison.rowsByName(
                        before.ranks().values(), rank -> rank.name().value()),
                RowComparison.rowsByName(
                        after.ranks().values(), rank -> rank.name().value()),
                SheetDifference::fields,
                changes);
        RowComparison.compare(
                "route ",
                RowComparison.rowsByName(
                        before.routes().values(), route -> route.name().value()),
                RowComparison.rowsByName(
                        after.routes().values(), route -> route.name().value()),
                SheetDifference::fields,
                changes);
        RowComparison.compare(
                "budget ",
                RowComparison.rowsByName(before.budgets(), SheetDifference::budgetName),
                RowComparison.rowsByName(after.budgets(), SheetDifference::budgetName),
                SheetDifference::fields,
                changes);
        return new SheetDifference(before.version(), after.version(), changes);
    }

    /** Returns whether the contents are equal; the versions may still differ. */
    public boolean isEmpty() {
        return changes.isEmpty();
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
