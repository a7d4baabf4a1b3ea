package org.plantainwharf.routing;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

/**
 * The cost of running a call on a server, in milliseconds: predicted wait, prefill without the cached prefix and a part
 * of the decode time, and, as long as the latency target is met, weights for another zone and for the price of the host
 * class. Immutable; made for one call.
 */
final class RouteCost {
    /** Share of a call's maximum length that is generated on average; only scales the wait. */
    private static final double GENERATED_SHARE = 0.5;

    /** Running calls slow each other down a little before the slots are full. */
    private static final double BATCHING_SHARE = 0.1;

    /** Part of the decode time that counts: it comes after the first token, which the target is about. */
    private static final double DECODE_WEIGHT = 0.1;

    /** Cost of leaving the zone and of a doubled price, as shares of the latency target. */
    private static final double ZONE_WEIGHT = 0.05;

    private static final double PRICE_WEIGHT = 0.2;

    private static final double GREATEST_RELATIVE_PRICE = 3;

    /** Weights count only while the prediction leaves this share of the target free, because predictions err. */
    private static final double TARGET_SHARE = 0.5;

    /**
     * Price and zone count only up to this share of the slots. All hosts see the same report, some time late, and would
     * fill the cheapest server together.
     */
    private static final double LOAD_SHARE = 0.9;

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
     * Returns the cost function of one call; a rank that the sheet no longer has gets a target of one second.
     *
     * @param hosts hosts that send work to the same servers
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
     * Returns the cost of a server.
     *
     * @param cachedTokens tokens of the prompt that the server is believed to hold
     */
    double on(ServerTrack track, LearnedSpeed speed, int cachedTokens) {
        double holding = holdingMillis(kind, speed, cachedTokens);
        int slots = Math.max(1, track.entry().announcement().slots());
        double load = track.expectedLoad(hosts);
        double wait = holding * Math.max(0, load + 1 - slots) / slots
                + holding * BATCHING_SHARE * Math.min(load, slots) / slots;
        double first = firstMillis(kind, speed, cachedTokens);
        double cost = wait + first + DECODE_WEIGHT * (holding - first);
        if (wait + first > TARGET_SHARE * targetMillis || load + 1 > Math.max(1, LOAD_SHARE * slots)) {
            // A server that may miss the target comes after those that meet it.
            return cost + (PRICE_WEIGHT * GREATEST_RELATIVE_PRICE + ZONE_WEIGHT) * targetMillis;
        }
        double zoneCost = track.entry().zone().equals(ownZone) ? 0 : ZONE_WEIGHT * targetMillis;
        return cost + zoneCost + PRICE_WEIGHT * targetMillis * relativePrice(track);
    }

    /** Returns the predicted time to the first token, or to the answer of a plain service call. */
    private static double firstMillis(CallKind kind, LearnedSpeed speed, int cachedTokens) {
        return switch (kind) {
            case CallKind.Model model -> prefillMillis(model, speed, cachedTokens);
            case CallKind.LongWork work -> prefillMillis(work.model(), speed, cachedTokens);
            case CallKind.Service service -> speed.serviceMillis();
            case CallKind.Order order -> speed.serviceMillis();
        };
    }

    private static double holdingMillis(CallKind kind, LearnedSpeed speed, int cachedTokens) {
        return switch (kind) {
            case CallKind.Model model ->
                prefillMillis(model, speed, cachedTokens)
                        + GENERATED_SHARE * model.maximumTokens() * speed.decodeMillisPerToken();
            case CallKind.LongWork work ->
                prefillMillis(work.model(), speed, cachedTokens)
                        + GENERATED_SHARE * work.model().maximumTokens() * speed.decodeMillisPerToken();
            case CallKind.Service service -> speed.serviceMillis();
            case CallKind.Order order -> speed.serviceMillis();
        };
    }

    private static double prefillMillis(CallKind.Model model, LearnedSpeed speed, int cachedTokens) {
        return Math.max(1, model.promptTokens() - cachedTokens) * speed.prefillMillisPerToken();
    }

    /** Returns the price relative to the mean of the sheet's budgets, 0 for the mean price and without a budget. */
    private double relativePrice(ServerTrack track) {
        if (meanPrice <= 0) {
            return 0;
        }
        return sheet.budget(track.entry().zone(), track.entry().announcement().hostClass())
                .map(budget -> Math.min(GREATEST_RELATIVE_PRICE, budget.pricePerHour() / meanPrice - 1))
                .orElse(0.0);
    }
}
