package org.plantainwharf.room;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.room.RoomDemand.PriorityDemand;

/**
 * Measures what one daemon is asked for at a service, by priority and account, as moving averages over about a second.
 * Invariant: accounts that ask for nothing any more are forgotten. Owned by the control thread.
 */
final class DemandMeter {
    /** Weight of the newest period in the averages. */
    private static final double SMOOTHING_WEIGHT = 0.25;

    /** Less than this, in milliseconds of work a second, counts as nothing. */
    private static final double MINIMUM_PER_SECOND = 0.05;

    private final SortedMap<Integer, OfPriority> priorities = new TreeMap<>();

    private static final class Average {
        private double current;
        private double perSecond;

        private void endPeriod(double seconds) {
            perSecond += SMOOTHING_WEIGHT * (current / seconds - perSecond);
            current = 0;
        }

        private boolean none() {
            return perSecond < MINIMUM_PER_SECOND && current <= 0;
        }
    }

    private static final class OfPriority {
        private final Average asked = new Average();
        private final Average admitted = new Average();
        private final Average requests = new Average();
        private final Map<AccountName, Average> accounts = new HashMap<>();
        private double answerMillis;
        private long targetMillis;
    }

    /** Records a request that asks for the first time. */
    void recordAsked(int priority, AccountName account, double workMillis, double answerMillis, long targetMillis) {
        OfPriority of = priorities.computeIfAbsent(priority, key -> new OfPriority());
        of.asked.current += workMillis;
        of.requests.current++;
        of.accounts.computeIfAbsent(account, key -> new Average()).current += workMillis;
        of.targetMillis = of.targetMillis == 0 ? targetMillis : Math.min(of.targetMillis, targetMillis);
        of.answerMillis =
                of.answerMillis == 0 ? answerMillis : of.answerMillis + 0.02 * (answerMillis - of.answerMillis);
    }

    /** Records a request that is let in. */
    void recordAdmitted(int priority, double workMillis) {
        priorities.computeIfAbsent(priority, key -> new OfPriority()).admitted.current += workMillis;
    }

    /** Ends a period of this length. */
    void endPeriod(double seconds) {
        for (OfPriority of : priorities.values()) {
            of.asked.endPeriod(seconds);
            of.admitted.endPeriod(seconds);
            of.requests.endPeriod(seconds);
            of.accounts.values().forEach(account -> account.endPeriod(seconds));
            of.accounts.values().removeIf(Average::none);
        }
        priorities.values().removeIf(of -> of.asked.none() && of.admitted.none());
    }

    /** Returns the demand, without a capacity, with the accounts that ask for most, at most this many over all priorities. */
    Map<Integer, PriorityDemand> demands(int maximumAccounts) {
        record Entry(int priority, AccountName account, double perSecond) {}
        Map<Integer, Map<AccountName, Double>> largest = new HashMap<>();
        priorities.entrySet().stream()
                .flatMap(of -> of.getValue().accounts.entrySet().stream()
                        .map(account -> new Entry(of.getKey(), account.getKey(), account.getValue().perSecond)))
                .sorted(Comparator.comparingDouble((Entry entry) -> -entry.perSecond)
                        .thenComparing(entry -> entry.account.value())
                        .thenComparing(Entry::priority))
                .limit(maximumAccounts)
                .forEach(entry -> largest.computeIfAbsent(entry.priority, key -> new LinkedHashMap<>())
                        .put(entry.account, entry.perSecond));
        Map<Integer, PriorityDemand> demands = new HashMap<>();
        priorities.forEach((priority, of) -> demands.put(
                priority, new PriorityDemand(of.asked.perSecond, 0, largest.getOrDefault(priority, Map.of()))));
        return demands;
    }

    /** Returns the part of the work let in that is at least as urgent as this priority; 1 if there is none yet. */
    double fractionAtLeastAsUrgent(int priority) {
        double all = 0;
        double urgent = 0;
        for (Map.Entry<Integer, OfPriority> of : priorities.entrySet()) {
            all += of.getValue().admitted.perSecond;
            urgent += of.getKey() <= priority ? of.getValue().admitted.perSecond : 0;
        }
        return all <= 0 ? 1 : urgent / all;
    }

    /** Returns the requests of a priority that ask for the first time, per second. */
    double requestsPerSecond(int priority) {
        OfPriority of = priorities.get(priority);
        return of == null ? 0 : of.requests.perSecond;
    }

    /** Returns the time to the start of the answer of the average request of a priority. */
    double averageAnswerMillis(int priority) {
        OfPriority of = priorities.get(priority);
        return of == null ? 0 : of.answerMillis;
    }

    /** Returns how long requests of more urgent priorities may wait for their targets; infinite if there are none. */
    double longestWaitBefore(int priority) {
        return priorities.headMap(priority).values().stream()
                .mapToDouble(of -> Math.max(0, of.targetMillis - of.answerMillis))
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns whether a less urgent priority than this one got less than its floor. */
    boolean anyBelowFloorAfter(int priority) {
        return priorities.tailMap(priority + 1).keySet().stream().anyMatch(this::belowFloor);
    }

    /** Returns whether a priority got less than its floor relative to the one that got most. */
    boolean belowFloor(int priority) {
        OfPriority own = priorities.get(priority);
        if (own == null || own.asked.perSecond < MINIMUM_PER_SECOND) {
            return false;
        }
        double most = priorities.values().stream()
                .filter(of -> of.asked.perSecond >= MINIMUM_PER_SECOND)
                .mapToDouble(of -> of.admitted.perSecond / of.asked.perSecond)
                .max()
                .orElse(0);
        return own.admitted.perSecond / own.asked.perSecond < RoomAllocation.FLOOR * Math.min(1, most);
    }
}
