package org.plantainwharf.sheet;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;

/**
 * A validated sheet. Every rank that an account or a route refers to is defined. Immutable.
 *
 * @param version version number assigned by the planners, greater than 0
 * @param digest lower-case hexadecimal SHA-256 of the canonical content, see {@link SheetDigest}
 * @param accounts client accounts by name
 * @param ranks ranks by name
 * @param routes routes by name
 * @param budgets budgets, at most one per zone and host class, sorted by zone and then host class
 */
public record Sheet(
        long version,
        String digest,
        Map<AccountName, ClientAccount> accounts,
        Map<RankName, Rank> ranks,
        Map<RouteName, Route> routes,
        List<Budget> budgets) {
    /** Copies the collections and sorts the budgets, so that sheets of equal content are equal. */
    public Sheet {
        accounts = Map.copyOf(accounts);
        ranks = Map.copyOf(ranks);
        routes = Map.copyOf(routes);
        budgets = budgets.stream()
                .sorted(Comparator.comparing((Budget budget) -> budget.zone().value())
                        .thenComparing(budget -> budget.hostClass().value()))
                .toList();
    }

    /** Creates a sheet and computes the digest of its content. */
    public static Sheet create(
            long version,
            Map<AccountName, ClientAccount> accounts,
            Map<RankName, Rank> ranks,
            Map<RouteName, Route> routes,
            List<Budget> budgets) {
        return new Sheet(version, SheetDigest.of(accounts, ranks, routes, budgets), accounts, ranks, routes, budgets);
    }

    /** Returns the budget of a host class in an availability zone, or empty if the sheet has none. */
    public Optional<Budget> budget(AvailabilityZone zone, HostClass hostClass) {
        return budgets.stream()
                .filter(budget ->
                        budget.zone().equals(zone) && budget.hostClass().equals(hostClass))
                .findFirst();
    }
}
