package org.plantainwharf.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.sheet.Budget;

/**
 * Chooses the capacity pool for the next host: the one with the lowest price, weighted with refusals, the risk of
 * reclaims and the share of hosts that its zone already has. A pool whose budget is exhausted, or that is blocked after
 * a refusal, is not considered. Stateless.
 */
final class Placement {
    /** Surcharge per recent refusal: a pool without one is preferred unless it is more than a fifth dearer. */
    private static final double REFUSAL_WEIGHT = 0.2;

    /**
     * Surcharge per recent reclaim: a start, a model load and recomputed tokens cost about half an hour of the price.
     */
    private static final double RECLAIM_WEIGHT = 0.5;

    /**
     * Surcharge of a zone that has all hosts, less for a smaller share; all hosts of a zone can be reclaimed at once.
     */
    private static final double CONCENTRATION_WEIGHT = 0.5;

    /** Tolerance for floating-point rounding: three hosts at 1.1 add up to slightly more than 3.3. */
    private static final double ROUNDING_TOLERANCE = 1 + 1e-9;

    private Placement() {}

    /**
     * Returns the pool for one more host, or empty if no pool within its budget can be used now.
     *
     * @param hosts running and starting hosts by pool
     * @param histories refusals and reclaims by pool; a pool without an entry has had none
     */
    static Optional<CapacityPool> choose(
            List<Budget> budgets,
            Map<CapacityPool, Integer> hosts,
            Map<CapacityPool, CapacityPoolHistory> histories,
            long nowNanos) {
        int total = hosts.values().stream().mapToInt(Integer::intValue).sum();
        return budgets.stream()
                .filter(budget -> withinBudget(budget, hosts))
                .filter(budget -> {
                    CapacityPoolHistory history = histories.get(pool(budget));
                    return history == null || history.mayStart(nowNanos);
                })
                .min(Comparator.comparingDouble(
                                (Budget budget) -> weightedPrice(budget, hosts, total, histories, nowNanos))
                        .thenComparing(budget -> budget.zone().value())
                        .thenComparing(budget -> budget.hostClass().value()))
                .map(Placement::pool);
    }

    static CapacityPool pool(Budget budget) {
        return new CapacityPool(budget.zone(), budget.hostClass());
    }

    private static boolean withinBudget(Budget budget, Map<CapacityPool, Integer> hosts) {
        return (hosts.getOrDefault(pool(budget), 0) + 1) * budget.pricePerHour()
                <= budget.maximumPerHour() * ROUNDING_TOLERANCE;
    }

    private static double weightedPrice(
            Budget budget,
            Map<CapacityPool, Integer> hosts,
            int total,
            Map<CapacityPool, CapacityPoolHistory> histories,
            long nowNanos) {
        int inZone = hosts.entrySet().stream()
                .filter(entry -> entry.getKey().zone().equals(budget.zone()))
                .mapToInt(Map.Entry::getValue)
                .sum();
        double factor = 1 + (total == 0 ? 0 : CONCENTRATION_WEIGHT * inZone / total);
        CapacityPoolHistory history = histories.get(pool(budget));
        if (history != null) {
            factor += REFUSAL_WEIGHT * history.refusals(nowNanos);
            factor += budget.reclaimable() ? RECLAIM_WEIGHT * history.reclaims(nowNanos) : 0;
        }
        return budget.pricePerHour() * factor;
    }
}
