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
 * One accepted sheet. Every rank named by an account or a route is present. Immutable.
 *
 * @param version number given by the planners, greater than 0
 * @param digest lower-case hexadecimal SHA-256 of the canonical content, see {@link SheetDigest}
 * @param accounts client accounts by name
 * @param ranks ranks by name
 * @param routes routes by name
 * @param budgets budgets, at most one for each zone and host class, ordered by both
 */
public record Sheet(
        long version,
        String digest,
        Map<AccountName, ClientAccount> accounts,
        Map<RankName, Rank> ranks,
        Map<RouteName, Route> routes,
        List<Budget> budgets) {
    /** Copies the collections and orders the budgets, so that sheets of equal content are equal. */
    public Sheet {
        accounts = Map.copyOf(accounts);
        ranks = Map.copyOf(ranks);
        routes = Map.copyOf(routes);
        budgets = budgets.stream()
                .sorted(Comparator.comparing((Budget budget) -> budget.zone().value())
                        .thenComparing(budget -> budget.hostClass().value()))
                .toList();
    }

    /** Returns a sheet with the digest of its content. */
    public static Sheet create(
            long version,
            Map<AccountName, ClientAccount> accounts,
            Map<RankName, Rank> ranks,
            Map<RouteName, Route> routes,
            List<Budget> budgets) {
        return new Sheet(version, SheetDigest.of(accounts, ranks, routes, budgets), accounts, ranks, routes, budgets);
    }

    /** Returns the budget of a host class in an availability zone. */
    public Optional<Budget> budget(AvailabilityZone zone, HostClass hostClass) {
        return budgets.stream()
                .filter(budget ->
                        budget.zone().equals(zone) && budget.hostClass().equals(hostClass))
                .findFirst();
    }
}
