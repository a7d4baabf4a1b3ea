package org.plantainwharf.routing;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

/**
 * The cost of running a call on a server, in milliseconds: predicted wait, prefill time without the cached prefix, and
 * a fraction of the decode time. While the prediction stays well within the latency target, weights for another zone
 * and for the price of the host class are added. Immutable; created for one call.
 */
final class RouteCost {
    /**
     * Assumed mean fraction of the maximum output length that is generated; scales the predicted wait and the weighted
     * decode time.
     */
    private static final double GENERATED_SHARE = 0.5;

    /**
     * Fraction of the holding time added when all slots are in use: concurrent calls slow each other down slightly
     * before the slots are full.
     */
    private static final double BATCHING_SLOWDOWN = 0.1;

    /**
     * Weight of the decode time. It is low because the latency target concerns the first token, which precedes
     * decoding.
     */
    private static final double DECODE_WEIGHT = 0.1;

    /** Cost of a server in another zone, as a fraction of the latency target. */
    private static final double ZONE_WEIGHT = 0.05;

    /** Cost of a price of twice the mean, as a fraction of the latency target. */
    private static final double PRICE_WEIGHT = 0.2;

    private static final double MAXIMUM_RELATIVE_PRICE = 3;

    /**
     * Zone and price count only while the predicted time to the first token is at most this fraction of the latency
     * target. The rest absorbs prediction errors.
     */
    private static final double PREFERENCE_TARGET_SHARE = 0.5;

    /**
     * Zone and price count only up to this fraction of the slots. All hosts see the same load report, with a delay, and
     * would otherwise fill the cheapest server at the same time.
     */
    private static final double PREFERENCE_LOAD_SHARE = 0.9;

    private static final double DEFAULT_TARGET_MILLIS = 1_000;

    private final CallKind kind;
    private final Sheet sheet;
    private final double targetMillis;
    private final AvailabilityZone ownZone;
    private final double meanPrice;
    private final int hosts;

    private RouteCost(
            CallKind kind, Sheet sheet, double targetMillis, AvailabilityZone ownZone, double meanPrice, int hosts) {
        this.kind = kind;
        this.sheet = sheet;
        this.targetMillis = targetMillis;
        this.ownZone = ownZone;
        this.meanPrice = meanPrice;
        this.hosts = hosts;
    }

    /**
     * Returns the cost function of one call. A rank that is no longer in the sheet gets a latency target of 1 s.
     *
     * @param hosts number of hosts that send calls to the same servers
     */
    static RouteCost of(CallKind kind, Sheet sheet, @Nullable Rank rank, AvailabilityZone ownZone, int hosts) {
        double mean = sheet.budgets().stream()
                .mapToDouble(Budget::pricePerHour)
                .average()
                .orElse(0);
        double target = rank == null ? DEFAULT_TARGET_MILLIS : rank.latencyTargetMillis();
        return new RouteCost(kind, sheet, target, ownZone, mean, hosts);
    }

    /**
     * Returns the cost of running the call on a server, in milliseconds.
     *
     * @param cachedTokens prompt tokens that the server is assumed to have cached
     */
    double costMillis(ServerRoutingState serverState, LatencyEstimate estimate, int cachedTokens) {
        double holding = holdingMillis(kind, estimate, cachedTokens);
        int slots = Math.max(1, serverState.entry().announcement().slots());
        double load = serverState.expectedLoad(hosts);
        double wait = holding * Math.max(0, load + 1 - slots) / slots
                + holding * BATCHING_SLOWDOWN * Math.min(load, slots) / slots;
        double firstToken = firstTokenMillis(kind, estimate, cachedTokens);
        double cost = wait + firstToken + DECODE_WEIGHT * (holding - firstToken);
        if (wait + firstToken > PREFERENCE_TARGET_SHARE * targetMillis
                || load + 1 > Math.max(1, PREFERENCE_LOAD_SHARE * slots)) {
            // Servers that may miss the target come after those that are expected to meet it.
            return cost + (PRICE_WEIGHT * MAXIMUM_RELATIVE_PRICE + ZONE_WEIGHT) * targetMillis;
        }
        double zoneCost = serverState.entry().zone().equals(ownZone) ? 0 : ZONE_WEIGHT * targetMillis;
        return cost + zoneCost + PRICE_WEIGHT * targetMillis * relativePrice(serverState);
    }

    /** Returns the predicted time to the first token, or to the answer of a plain service. */
    private static double firstTokenMillis(CallKind kind, LatencyEstimate estimate, int cachedTokens) {
        return switch (kind) {
            case CallKind.Model model -> prefillMillis(model, estimate, cachedTokens);
            case CallKind.LongWork work -> prefillMillis(work.model(), estimate, cachedTokens);
            case CallKind.Service service -> estimate.serviceMillis();
            case CallKind.Order order -> estimate.serviceMillis();
        };
    }

    /** Returns the predicted time for which the call occupies a slot. */
    private static double holdingMillis(CallKind kind, LatencyEstimate estimate, int cachedTokens) {
        return switch (kind) {
            case CallKind.Model model ->
                prefillMillis(model, estimate, cachedTokens)
                        + GENERATED_SHARE * model.maximumTokens() * estimate.decodeMillisPerToken();
            case CallKind.LongWork work ->
                prefillMillis(work.model(), estimate, cachedTokens)
                        + GENERATED_SHARE * work.model().maximumTokens() * estimate.decodeMillisPerToken();
            case CallKind.Service service -> estimate.serviceMillis();
            case CallKind.Order order -> estimate.serviceMillis();
        };
    }

    private static double prefillMillis(CallKind.Model model, LatencyEstimate estimate, int cachedTokens) {
        return Math.max(1, model.promptTokens() - cachedTokens) * estimate.prefillMillisPerToken();
    }

    /**
     * Returns the relative deviation of the price from the mean of the sheet's budgets; 0 at the mean and without a
     * budget.
     */
    private double relativePrice(ServerRoutingState serverState) {
        if (meanPrice <= 0) {
            return 0;
        }
        return sheet.budget(
                        serverState.entry().zone(),
                        serverState.entry().announcement().hostClass())
                .map(budget -> Math.min(MAXIMUM_RELATIVE_PRICE, budget.pricePerHour() / meanPrice - 1))
                .orElse(0.0);
    }
}
