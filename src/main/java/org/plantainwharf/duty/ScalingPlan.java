package org.plantainwharf.duty;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

/**
 * Spreads a number of servers over zones and kinds at the least price. A small base of ordinary servers in the cheapest
 * zones outlives the reclaim of all others; the rest is reclaimable, spread evenly so that one zone's reclaim takes a
 * small part, and ordinary where reclaimable ones are not to be had. Both kinds together stay between the bounds of
 * each zone. Stateless.
 */
final class ScalingPlan {
    private ScalingPlan() {}

    /**
     * Returns the number of servers for each pool.
     *
     * @param wanted servers in total
     * @param base ordinary servers that are always kept
     * @param dry zones where reclaimable servers are not to be had now
     */
    static Map<Pool, Integer> of(
            ServiceName service, ServiceRule.Scaling scaling, int wanted, int base, Set<AvailabilityZone> dry) {
        List<AvailabilityZone> cheapestFirst =
                new ArrayList<>(scaling.zonePrices().keySet());
        cheapestFirst.sort(Comparator.<AvailabilityZone>comparingDouble(
                        zone -> scaling.zonePrices().getOrDefault(zone, 1.0))
                .thenComparing(AvailabilityZone::value));
        Map<AvailabilityZone, Integer> ordinary = new HashMap<>();
        Map<AvailabilityZone, Integer> reclaimable = new HashMap<>();
        int placed = 0;
        for (AvailabilityZone zone : cheapestFirst) {
            if (placed < base) {
                placed += add(ordinary, zone, 1);
            }
        }
        for (AvailabilityZone zone : cheapestFirst) {
            int missing = scaling.minimum() - ordinary.getOrDefault(zone, 0);
            if (missing > 0) {
                placed += add(dry.contains(zone) ? ordinary : reclaimable, zone, missing);
            }
        }
        List<AvailabilityZone> wet =
                cheapestFirst.stream().filter(zone -> !dry.contains(zone)).toList();
        placed = fill(wet, reclaimable, ordinary, reclaimable, scaling.maximum(), placed, wanted);
        fill(cheapestFirst, ordinary, ordinary, reclaimable, scaling.maximum(), placed, wanted);
        Map<Pool, Integer> plan = new LinkedHashMap<>();
        for (AvailabilityZone zone : cheapestFirst) {
            plan.put(new Pool(service, zone, false), ordinary.getOrDefault(zone, 0));
            plan.put(new Pool(service, zone, true), reclaimable.getOrDefault(zone, 0));
        }
        return plan;
    }

    /** Adds servers of one kind, always in the zone that has the fewest of both kinds and room. */
    private static int fill(
            List<AvailabilityZone> zones,
            Map<AvailabilityZone, Integer> kind,
            Map<AvailabilityZone, Integer> ordinary,
            Map<AvailabilityZone, Integer> reclaimable,
            int maximum,
            int placed,
            int wanted) {
        int count = placed;
        while (count < wanted) {
            AvailabilityZone emptiest = zones.stream()
                    .filter(zone -> sum(zone, ordinary, reclaimable) < maximum)
                    .min(Comparator.comparingInt(zone -> sum(zone, ordinary, reclaimable)))
                    .orElse(null);
            if (emptiest == null) {
                return count;
            }
            count += add(kind, emptiest, 1);
        }
        return count;
    }

    private static int sum(
            AvailabilityZone zone,
            Map<AvailabilityZone, Integer> ordinary,
            Map<AvailabilityZone, Integer> reclaimable) {
        return ordinary.getOrDefault(zone, 0) + reclaimable.getOrDefault(zone, 0);
    }

    private static int add(Map<AvailabilityZone, Integer> counts, AvailabilityZone zone, int number) {
        counts.merge(zone, number, Integer::sum);
        return number;
    }
}
