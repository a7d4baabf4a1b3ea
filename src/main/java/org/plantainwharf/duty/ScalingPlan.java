package org.plantainwharf.duty;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjIntConsumer;
import java.util.function.ToIntFunction;

import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

/**
 * Distributes the servers of a service over zones, and over reclaimable and ordinary ones, at the lowest price.
 * Reclaimable servers are spread evenly, so that the reclaim of one zone takes a small share; where no more are
 * available, the running ones stay. Ordinary servers cover the demand beyond the reclaimable ones that run or are
 * starting, and a minimum of them survives the reclaim of all others. Running ordinary servers stay in their zone, and
 * are given up only for reclaimable ones that already run. Both kinds together stay within the bounds of each zone.
 * Used by one thread.
 */
final class ScalingPlan {
    private final ServiceRule.Scaling scaling;
    private final State state;
    private final List<AvailabilityZone> zonesByPrice;
    private final Map<AvailabilityZone, Integer> ordinary = new HashMap<>();
    private final Map<AvailabilityZone, Integer> reclaimable = new HashMap<>();

    /**
     * Target numbers of servers, over all zones. Immutable.
     *
     * @param minimumOrdinary ordinary servers that are always kept
     * @param required servers of either kind below which ordinary ones replace reclaimable ones
     * @param desired servers of either kind to run as long as enough reclaimable ones are available
     */
    record Target(int minimumOrdinary, int required, int desired) {}

    /**
     * Present servers of the service. Immutable.
     *
     * @param ordinary ordinary servers that are ready, by zone
     * @param reclaimable reclaimable servers that are ready, by zone
     * @param starting reclaimable servers that were ordered and are not ready yet, by zone
     * @param reclaimableLimit most reclaimable servers available, only for zones where they are short
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
    static Map<ServerPool, Integer> of(ServiceName service, ServiceRule.Scaling scaling, Target target, State state) {
        ScalingPlan plan = new ScalingPlan(scaling, state);
        plan.spreadReclaimable(target.desired() - target.minimumOrdinary());
        plan.placeOrdinary(target);
        plan.enforceZoneMaximum();
        Map<ServerPool, Integer> pools = new LinkedHashMap<>();
        for (AvailabilityZone zone : plan.zonesByPrice) {
            pools.put(new ServerPool(service, zone, false), plan.ordinary.getOrDefault(zone, 0));
            pools.put(new ServerPool(service, zone, true), plan.reclaimable.getOrDefault(zone, 0));
        }
        return pools;
    }

    /** Gives every zone the same number, the cheapest zones one more; other zones replace what one has not available. */
    private void spreadReclaimable(int total) {
        fillSmallest(total, zone -> 0, this::availableReclaimable, (zone, number) -> reclaimable.put(zone, number));
    }

    private int availableReclaimable(AvailabilityZone zone) {
        return Math.min(maximumServers(), state.reclaimableLimit().getOrDefault(zone, maximumServers()));
    }

    /** Returns the maximum of a zone; a larger one than can be ordered is never reached. */
    private int maximumServers() {
        return (int) Math.min(scaling.maximumServers(), ServiceRule.Scaling.MAXIMUM_SERVERS);
    }

    /**
     * Adds servers one by one to the zone that has the fewest, of several the cheapest, as far as their maximums allow. The
     * number of steps does not depend on the number of servers.
     *
     * @param present servers that a zone has before
     * @param assign receives each zone that gets servers and the number that it has then
     */
    private void fillSmallest(
            int additional,
            ToIntFunction<AvailabilityZone> present,
            ToIntFunction<AvailabilityZone> maximum,
            ObjIntConsumer<AvailabilityZone> assign) {
        Map<AvailabilityZone, Integer> numbers = new LinkedHashMap<>();
        zonesByPrice.forEach(zone -> numbers.put(zone, present.applyAsInt(zone)));
        int remaining = additional;
        while (remaining > 0) {
            List<AvailabilityZone> open = zonesByPrice.stream()
                    .filter(zone -> numbers.getOrDefault(zone, 0) < maximum.applyAsInt(zone))
                    .toList();
            if (open.isEmpty()) {
                return;
            }
            int fewest = open.stream()
                    .mapToInt(zone -> numbers.getOrDefault(zone, 0))
                    .min()
                    .getAsInt();
            List<AvailabilityZone> smallest = open.stream()
                    .filter(zone -> numbers.getOrDefault(zone, 0) == fewest)
                    .toList();
            // All of them rise together until one is full or they are level with the next zone.
            int next = Math.min(
                    smallest.stream().mapToInt(maximum).min().getAsInt(),
                    open.stream()
                            .mapToInt(zone -> numbers.getOrDefault(zone, 0))
                            .filter(number -> number > fewest)
                            .min()
                            .orElse(Integer.MAX_VALUE));
            int each = Math.min(next - fewest, remaining / smallest.size());
            List<AvailabilityZone> raised =
                    each > 0 ? smallest : smallest.subList(0, Math.min(remaining, smallest.size()));
            for (AvailabilityZone zone : raised) {
                int number = fewest + Math.max(1, each);
                numbers.put(zone, number);
                assign.accept(zone, number);
                remaining -= number - fewest;
            }
        }
    }

    private void placeOrdinary(Target target) {
        for (AvailabilityZone zone : zonesByPrice) {
            int expectedReclaimable =
                    Math.min(reclaimable.getOrDefault(zone, 0), runningReclaimable(zone) + startingReclaimable(zone));
            raiseOrdinary(zone, scaling.minimumServers() - expectedReclaimable);
        }
        int running = zonesByPrice.stream().mapToInt(this::runningReclaimable).sum();
        int starting = zonesByPrice.stream().mapToInt(this::startingReclaimable).sum();
        int runningOrdinary =
                state.ordinary().values().stream().mapToInt(Integer::intValue).sum();
        int required = Math.max(target.minimumOrdinary(), target.required() - running - starting);
        int total = required < runningOrdinary
                ? Math.min(runningOrdinary, Math.max(target.minimumOrdinary(), target.required() - running))
                : required;
        for (AvailabilityZone zone : zonesByPrice) {
            raiseOrdinary(
                    zone,
                    Math.min(
                            state.ordinary().getOrDefault(zone, 0), plannedOrdinary(zone) + total - plannedOrdinary()));
        }
        fillSmallest(
                total - plannedOrdinary(),
                zone -> plannedOrdinary(zone) + reclaimable.getOrDefault(zone, 0),
                zone -> maximumServers(),
                (zone, number) -> raiseOrdinary(zone, number - reclaimable.getOrDefault(zone, 0)));
    }

    /** Removes reclaimable servers from zones where both kinds exceed the maximum; ordinary servers take precedence. */
    private void enforceZoneMaximum() {
        reclaimable.replaceAll((zone, count) -> Math.max(0, Math.min(count, maximumServers() - plannedOrdinary(zone))));
    }

    /** Raises the number of ordinary servers of a zone to at least {@code number}. */
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
