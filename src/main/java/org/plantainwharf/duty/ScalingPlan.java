package org.plantainwharf.duty;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

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
     * Numbers of servers wanted. Immutable.
     *
     * @param base ordinary servers that are always kept
     * @param least servers of any kind that the demand needs
     * @param best servers worth having while reclaimable ones are to be had
     */
    record Size(int base, int least, int best) {}

    /**
     * Returns the number of servers for each pool.
     *
     * @param size numbers of servers wanted
     * @param most reclaimable servers that can be had at most, for zones where they are short
     */
    static Map<Pool, Integer> of(
            ServiceName service, ServiceRule.Scaling scaling, Size size, Map<AvailabilityZone, Integer> most) {
        List<AvailabilityZone> cheapestFirst =
                new ArrayList<>(scaling.zonePrices().keySet());
        cheapestFirst.sort(Comparator.<AvailabilityZone>comparingDouble(
                        zone -> scaling.zonePrices().getOrDefault(zone, 1.0))
                .thenComparing(AvailabilityZone::value));
        Map<AvailabilityZone, Integer> ordinary = new HashMap<>();
        Map<AvailabilityZone, Integer> reclaimable = new HashMap<>();
        int placed = 0;
        for (AvailabilityZone zone : cheapestFirst) {
            if (placed < size.base()) {
                placed += add(ordinary, zone, 1);
            }
        }
        for (AvailabilityZone zone : cheapestFirst) {
            int missing = scaling.minimum() - ordinary.getOrDefault(zone, 0);
            if (missing > 0) {
                int cheap = Math.min(missing, most.getOrDefault(zone, missing));
                placed += add(reclaimable, zone, cheap) + add(ordinary, zone, missing - cheap);
            }
        }
        placed = fill(cheapestFirst, reclaimable, ordinary, reclaimable, scaling.maximum(), most, placed, size.best());
        fill(cheapestFirst, ordinary, ordinary, reclaimable, scaling.maximum(), Map.of(), placed, size.least());
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
            Map<AvailabilityZone, Integer> most,
            int placed,
            int wanted) {
        int count = placed;
        while (count < wanted) {
            AvailabilityZone emptiest = zones.stream()
                    .filter(zone -> sum(zone, ordinary, reclaimable) < maximum)
                    .filter(zone -> kind.getOrDefault(zone, 0) < most.getOrDefault(zone, maximum))
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
