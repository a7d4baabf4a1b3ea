package org.plantainwharf.duty;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

/**
 * Spreads servers over zones and kinds at the least price. Reclaimable servers are spread evenly, so that one zone's
 * reclaim takes a small part; where they are short, those that run stay. Ordinary servers fill up what the demand needs
 * beyond the reclaimable ones that run or are on their way, and a small base of them outlives the reclaim of all others.
 * Ordinary servers that run are kept in their place, and are given up only for reclaimable ones that run. Both kinds
 * together stay between the bounds of each zone. Used by one thread.
 */
final class ScalingPlan {
    private final ServiceRule.Scaling scaling;
    private final State state;
    private final List<AvailabilityZone> zonesByPrice;
    private final Map<AvailabilityZone, Integer> ordinary = new HashMap<>();
    private final Map<AvailabilityZone, Integer> reclaimable = new HashMap<>();

    /**
     * Numbers of servers wanted. Immutable.
     *
     * @param minimumOrdinary ordinary servers that are always kept
     * @param required servers of any kind that the demand needs
     * @param desired servers worth having while reclaimable ones are to be had
     */
    record Target(int minimumOrdinary, int required, int desired) {}

    /**
     * What runs now. Immutable.
     *
     * @param ordinary ordinary servers that take work, by zone
     * @param reclaimable reclaimable servers that take work, by zone
     * @param starting reclaimable servers on their way, by zone
     * @param reclaimableLimit reclaimable servers that can be had at most, for zones where they are short
     */
    record State(
            Map<AvailabilityZone, Integer> ordinary,
            Map<AvailabilityZone, Integer> reclaimable,
            Map<AvailabilityZone, Integer> starting,
            Map<AvailabilityZone, Integer> reclaimableLimit) {}

    private ScalingPlan(ServiceRule.Scaling scaling, State state) {
        this.scaling = scaling;
        this.state = state;
        this.zonesByPrice = new ArrayList<>(scaling.zonePrices().keySet());
        this.zonesByPrice.sort(Comparator.<AvailabilityZone>comparingDouble(
                        zone -> scaling.zonePrices().getOrDefault(zone, 1.0))
                .thenComparing(AvailabilityZone::value));
    }

    /** Returns the number of servers for each pool. */
    static Map<Pool, Integer> of(ServiceName service, ServiceRule.Scaling scaling, Target target, State state) {
        ScalingPlan plan = new ScalingPlan(scaling, state);
        plan.spreadReclaimable(target.desired() - target.minimumOrdinary());
        plan.placeOrdinary(target);
        plan.enforceZoneMaximum();
        Map<Pool, Integer> pools = new LinkedHashMap<>();
        for (AvailabilityZone zone : plan.zonesByPrice) {
            pools.put(new Pool(service, zone, false), plan.ordinary.getOrDefault(zone, 0));
            pools.put(new Pool(service, zone, true), plan.reclaimable.getOrDefault(zone, 0));
        }
        return pools;
    }

    /** Gives every zone the same number, the cheapest ones one more, and takes away what is not to be had. */
    private void spreadReclaimable(int total) {
        for (int placed = 0; placed < total; placed++) {
            Optional<AvailabilityZone> smallest = zonesByPrice.stream()
                    .filter(zone -> reclaimable.getOrDefault(zone, 0) < scaling.maximum())
                    .min(Comparator.comparingInt(zone -> reclaimable.getOrDefault(zone, 0)));
            if (smallest.isEmpty()) {
                break;
            }
            reclaimable.merge(smallest.get(), 1, Integer::sum);
        }
        state.reclaimableLimit()
                .forEach((zone, limit) -> reclaimable.computeIfPresent(zone, (key, count) -> Math.min(count, limit)));
    }

    private void placeOrdinary(Target target) {
        for (AvailabilityZone zone : zonesByPrice) {
            int expectedReclaimable =
                    Math.min(reclaimable.getOrDefault(zone, 0), runningReclaimable(zone) + startingReclaimable(zone));
            raiseOrdinary(zone, scaling.minimum() - expectedReclaimable);
        }
        int running = zonesByPrice.stream().mapToInt(this::runningReclaimable).sum();
        int starting = zonesByPrice.stream().mapToInt(this::startingReclaimable).sum();
        int runningOrdinary =
                state.ordinary().values().stream().mapToInt(Integer::intValue).sum();
        int wanted = Math.max(target.minimumOrdinary(), target.required() - running - starting);
        int total = wanted < runningOrdinary
                ? Math.min(runningOrdinary, Math.max(target.minimumOrdinary(), target.required() - running))
                : wanted;
        for (AvailabilityZone zone : zonesByPrice) {
            raiseOrdinary(
                    zone,
                    Math.min(
                            state.ordinary().getOrDefault(zone, 0), plannedOrdinary(zone) + total - plannedOrdinary()));
        }
        while (plannedOrdinary() < total) {
            Optional<AvailabilityZone> smallest = zonesByPrice.stream()
                    .filter(zone -> plannedOrdinary(zone) + reclaimable.getOrDefault(zone, 0) < scaling.maximum())
                    .min(Comparator.comparingInt(zone -> plannedOrdinary(zone) + reclaimable.getOrDefault(zone, 0)));
            if (smallest.isEmpty()) {
                return;
            }
            raiseOrdinary(smallest.get(), plannedOrdinary(smallest.get()) + 1);
        }
    }

    /** Ordinary servers go first where both kinds do not fit. */
    private void enforceZoneMaximum() {
        reclaimable.replaceAll(
                (zone, count) -> Math.max(0, Math.min(count, scaling.maximum() - plannedOrdinary(zone))));
    }

    /** Raises a zone's ordinary servers to a number. */
    private void raiseOrdinary(AvailabilityZone zone, int number) {
        ordinary.merge(zone, Math.max(0, number), Math::max);
    }

    private int plannedOrdinary(AvailabilityZone zone) {
        return ordinary.getOrDefault(zone, 0);
    }

    private int plannedOrdinary() {
        return ordinary.values().stream().mapToInt(Integer::intValue).sum();
    }

    private int runningReclaimable(AvailabilityZone zone) {
        return state.reclaimable().getOrDefault(zone, 0);
    }

    private int startingReclaimable(AvailabilityZone zone) {
        return state.starting().getOrDefault(zone, 0);
    }
}
