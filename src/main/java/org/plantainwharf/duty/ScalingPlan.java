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
    private final List<AvailabilityZone> cheapestFirst;
    private final Map<AvailabilityZone, Integer> ordinary = new HashMap<>();
    private final Map<AvailabilityZone, Integer> reclaimable = new HashMap<>();

    /**
     * Numbers of servers wanted. Immutable.
     *
     * @param base ordinary servers that are always kept
     * @param least servers of any kind that the demand needs
     * @param best servers worth having while reclaimable ones are to be had
     */
    record Size(int base, int least, int best) {}

    /**
     * What runs now. Immutable.
     *
     * @param ordinary ordinary servers that take work, by zone
     * @param reclaimable reclaimable servers that take work, by zone
     * @param arriving reclaimable servers on their way, by zone
     * @param most reclaimable servers that can be had at most, for zones where they are short
     */
    record State(
            Map<AvailabilityZone, Integer> ordinary,
            Map<AvailabilityZone, Integer> reclaimable,
            Map<AvailabilityZone, Integer> arriving,
            Map<AvailabilityZone, Integer> most) {}

    private ScalingPlan(ServiceRule.Scaling scaling, State state) {
        this.scaling = scaling;
        this.state = state;
        this.cheapestFirst = new ArrayList<>(scaling.zonePrices().keySet());
        this.cheapestFirst.sort(Comparator.<AvailabilityZone>comparingDouble(
                        zone -> scaling.zonePrices().getOrDefault(zone, 1.0))
                .thenComparing(AvailabilityZone::value));
    }

    /** Returns the number of servers for each pool. */
    static Map<Pool, Integer> of(ServiceName service, ServiceRule.Scaling scaling, Size size, State state) {
        ScalingPlan plan = new ScalingPlan(scaling, state);
        plan.spreadReclaimable(size.best() - size.base());
        plan.placeOrdinary(size);
        plan.keepMaximum();
        Map<Pool, Integer> pools = new LinkedHashMap<>();
        for (AvailabilityZone zone : plan.cheapestFirst) {
            pools.put(new Pool(service, zone, false), plan.ordinary.getOrDefault(zone, 0));
            pools.put(new Pool(service, zone, true), plan.reclaimable.getOrDefault(zone, 0));
        }
        return pools;
    }

    /** Gives every zone the same number, the cheapest ones one more, and takes away what is not to be had. */
    private void spreadReclaimable(int total) {
        for (int placed = 0; placed < total; placed++) {
            Optional<AvailabilityZone> emptiest = cheapestFirst.stream()
                    .filter(zone -> reclaimable.getOrDefault(zone, 0) < scaling.maximum())
                    .min(Comparator.comparingInt(zone -> reclaimable.getOrDefault(zone, 0)));
            if (emptiest.isEmpty()) {
                break;
            }
            reclaimable.merge(emptiest.get(), 1, Integer::sum);
        }
        state.most().forEach((zone, most) -> reclaimable.computeIfPresent(zone, (key, count) -> Math.min(count, most)));
    }

    private void placeOrdinary(Size size) {
        for (AvailabilityZone zone : cheapestFirst) {
            int cheap = Math.min(reclaimable.getOrDefault(zone, 0), running(zone) + arriving(zone));
            place(zone, scaling.minimum() - cheap);
        }
        int running = cheapestFirst.stream().mapToInt(this::running).sum();
        int arriving = cheapestFirst.stream().mapToInt(this::arriving).sum();
        int kept =
                state.ordinary().values().stream().mapToInt(Integer::intValue).sum();
        int wanted = Math.max(size.base(), size.least() - running - arriving);
        int total = wanted < kept ? Math.min(kept, Math.max(size.base(), size.least() - running)) : wanted;
        for (AvailabilityZone zone : cheapestFirst) {
            place(zone, Math.min(state.ordinary().getOrDefault(zone, 0), placed(zone) + total - placed()));
        }
        while (placed() < total) {
            Optional<AvailabilityZone> emptiest = cheapestFirst.stream()
                    .filter(zone -> placed(zone) + reclaimable.getOrDefault(zone, 0) < scaling.maximum())
                    .min(Comparator.comparingInt(zone -> placed(zone) + reclaimable.getOrDefault(zone, 0)));
            if (emptiest.isEmpty()) {
                return;
            }
            place(emptiest.get(), placed(emptiest.get()) + 1);
        }
    }

    /** Ordinary servers go first where both kinds do not fit. */
    private void keepMaximum() {
        reclaimable.replaceAll((zone, count) -> Math.max(0, Math.min(count, scaling.maximum() - placed(zone))));
    }

    /** Raises a zone's ordinary servers to a number. */
    private void place(AvailabilityZone zone, int number) {
        ordinary.merge(zone, Math.max(0, number), Math::max);
    }

    private int placed(AvailabilityZone zone) {
        return ordinary.getOrDefault(zone, 0);
    }

    private int placed() {
        return ordinary.values().stream().mapToInt(Integer::intValue).sum();
    }

    private int running(AvailabilityZone zone) {
        return state.reclaimable().getOrDefault(zone, 0);
    }

    private int arriving(AvailabilityZone zone) {
        return state.arriving().getOrDefault(zone, 0);
    }
}
