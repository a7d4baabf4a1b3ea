package org.plantainwharf.room;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.room.RoomDemand.PriorityDemand;
import org.plantainwharf.room.RoomShare.PriorityShare;

/**
 * Divides the room of a service among priorities and, within a priority, among accounts.
 *
 * <p>Every priority gets a quarter of the most urgent one's fraction; the rest of the room goes to priorities in the order
 * of their urgency. Within a priority, the accounts that ask for least get everything and the others equal amounts, but
 * none gets a smaller fraction than a quarter of what the account with the largest fraction gets. A fraction does not
 * depend on the size of a request. Invariant: a less urgent priority never gets a larger fraction. Stateless.
 */
final class RoomAllocation {
    /** Smallest fraction of a priority or account relative to the largest one. */
    static final double FLOOR = 0.25;

    private static final int ITERATIONS = 30;

    private RoomAllocation() {}

    /**
     * Returns the shares at this demand.
     *
     * @param maximumAccounts largest number of accounts that are listed at each priority
     */
    static RoomShare divide(Map<Integer, PriorityDemand> demands, int maximumAccounts) {
        SortedMap<Integer, PriorityDemand> sorted = new TreeMap<>(demands);
        double asked = 0;
        double pressure = 0;
        for (PriorityDemand demand : sorted.values()) {
            asked += demand.askedPerSecond();
            pressure = Math.max(pressure, asked / Math.max(1e-9, demand.capacityPerSecond()));
        }
        if (asked <= 0) {
            return RoomShare.everything();
        }
        Map<Integer, PriorityShare> shares = new HashMap<>();
        SortedMap<Integer, Double> fractions = fractions(sorted, asked);
        sorted.forEach((priority, demand) -> shares.put(
                priority, divideAmongAccounts(fractions.getOrDefault(priority, 1.0), demand, maximumAccounts)));
        return new RoomShare(pressure, shares);
    }

    /** Returns the admitted fraction of each priority. */
    private static SortedMap<Integer, Double> fractions(SortedMap<Integer, PriorityDemand> demands, double asked) {
        SortedMap<Integer, Double> fractions = new TreeMap<>();
        double mostUrgent = -1;
        double previous = 1;
        double used = 0;
        double askedLess = asked;
        double capacity = demands.values().stream()
                .mapToDouble(PriorityDemand::capacityPerSecond)
                .max()
                .orElse(0);
        for (Map.Entry<Integer, PriorityDemand> entry : demands.entrySet()) {
            double own = Math.max(1e-9, entry.getValue().askedPerSecond());
            askedLess -= own;
            double fraction = Math.min(previous, (entry.getValue().capacityPerSecond() - used) / own);
            if (mostUrgent < 0) {
                fraction = Math.min(fraction, capacity / (own + FLOOR * Math.max(0, askedLess)));
                mostUrgent = fraction;
            } else {
                fraction = Math.min(fraction, (capacity - used - FLOOR * mostUrgent * Math.max(0, askedLess)) / own);
            }
            fraction = Math.max(FLOOR * mostUrgent, fraction);
            fractions.put(entry.getKey(), fraction);
            previous = fraction;
            used += fraction * own;
        }
        return fractions;
    }

    private static PriorityShare divideAmongAccounts(double fraction, PriorityDemand demand, int maximumAccounts) {
        if (fraction >= 1) {
            return new PriorityShare(1, 1, Map.of());
        }
        double listed = demand.accounts().values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        double rest = Math.max(0, demand.askedPerSecond() - listed);
        double room = fraction * demand.askedPerSecond();
        double low = 0;
        double high = Math.max(room, listed);
        for (int iteration = 0; iteration < ITERATIONS; iteration++) {
            double part = (low + high) / 2;
            if (used(part, demand.accounts().values()) + rest > room) {
                high = part;
            } else {
                low = part;
            }
        }
        double atFloor = used(low, demand.accounts().values());
        if (atFloor + rest > room) {
            // The floors alone take more than the room, so that all get less.
            double scale = room / Math.max(1e-9, atFloor + rest);
            return share(fraction, scale, low, demand.accounts(), maximumAccounts);
        }
        return share(fraction, 1, low, demand.accounts(), maximumAccounts);
    }

    private static PriorityShare share(
            double fraction, double scale, double part, Map<AccountName, Double> accounts, int maximumAccounts) {
        Map<AccountName, Double> fractions = new LinkedHashMap<>();
        accounts.entrySet().stream()
                .filter(account -> part < account.getValue())
                .sorted(Comparator.comparingDouble((Map.Entry<AccountName, Double> account) -> -account.getValue())
                        .thenComparing(account -> account.getKey().value()))
                .limit(maximumAccounts)
                .forEach(account -> fractions.put(account.getKey(), scale * fraction(part, account.getValue())));
        return new PriorityShare(fraction, scale, fractions);
    }

    private static double used(double part, Collection<Double> accounts) {
        return accounts.stream()
                .mapToDouble(asked -> asked * fraction(part, asked))
                .sum();
    }

    private static double fraction(double part, double asked) {
        return asked <= part ? 1 : Math.max(FLOOR, part / asked);
    }
}
