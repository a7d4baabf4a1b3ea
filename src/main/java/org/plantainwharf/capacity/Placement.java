package org.plantainwharf.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.sheet.Budget;

/**
 * Chooses where to start the next host: the lowest price after weighting with refusals, the risk of reclaims and the
 * share of hosts that the zone already has. A place whose budget is used up, or that refused lately, is left out.
 * Stateless.
 */
final class Placement {
    /** A place that refused once lately must be a fifth cheaper to be tried before one that did not. */
    private static final double REFUSAL_WEIGHT = 0.2;

    /** A reclaimed host costs its start, its model load and recomputed tokens, about half an hour of its price. */
    private static final double RECLAIM_WEIGHT = 0.5;

    /** A zone's worth of hosts can be reclaimed at once, so a zone that holds all hosts counts as half dearer. */
    private static final double CONCENTRATION_WEIGHT = 0.5;

    /** Three hosts at 1.1 cost a little more than 3.3 in binary fractions. */
    private static final double ROUNDING_TOLERANCE = 1 + 1e-9;

    private Placement() {}

    /**
     * Returns the place for one more host, or empty when no budget allows one now.
     *
     * @param hosts running and starting hosts by place
     * @param histories refusals and reclaims by place; a place without one has none
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
