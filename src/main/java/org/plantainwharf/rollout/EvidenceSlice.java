package org.plantainwharf.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.RouteName;

/** Evidence of all daemons over a time, by route, side and server of the target. Owned by the thread that fills it. */
public final class EvidenceSlice {
    private static final String NO_SERVER = "";

    /** More answers of other versions than this add little to what a comparison shows. */
    private static final double OTHERS_FOR_EACH_TARGET = 5;

    private final Map<Key, Counts> entries = new HashMap<>();

    private record Key(RouteName route, boolean target, String server) {}

    /** Sums of counts, which are fractions where they are weighted. */
    static final class Counts {
        private double answers;
        private double failures;
        private double refused;
        private double lost;
        private final double[] times = new double[AnswerTimes.BUCKETS];
        private final double[] durations = new double[AnswerTimes.BUCKETS];

        private void add(Counts other, double factor) {
            answers += factor * other.answers;
            failures += factor * other.failures;
            refused += factor * other.refused;
            lost += factor * other.lost;
            for (int bucket = 0; bucket < AnswerTimes.BUCKETS; bucket++) {
                times[bucket] += factor * other.times[bucket];
                durations[bucket] += factor * other.durations[bucket];
            }
        }

        double answers() {
            return answers;
        }

        double failures() {
            return failures;
        }

        double refused() {
            return refused;
        }

        double lost() {
            return lost;
        }

        double[] times() {
            return times;
        }

        double[] durations() {
            return durations;
        }
    }

    private EvidenceSlice() {}

    /** Returns an empty slice. */
    public static EvidenceSlice create() {
        return new EvidenceSlice();
    }

    /** Adds what one daemon has seen. */
    public void add(List<RouteEvidence> evidence) {
        for (RouteEvidence route : evidence) {
            Counts counts = entries.computeIfAbsent(
                    new Key(route.route(), route.target(), route.server()), key -> new Counts());
            counts.answers += route.answers();
            counts.failures += route.failures();
            counts.refused += route.refused();
            counts.lost += route.lost();
            AnswerTimes.add(route.times(), counts.times);
            AnswerTimes.add(route.durations(), counts.durations);
        }
    }

    /**
     * Adds a slice of a short time, its answers of other versions weighted so that they are to those of the target as
     * they are at any other time. Over a rollout both sides then have the same distribution over time, whenever the target
     * had few answers and whenever many.
     */
    public void addMatched(EvidenceSlice slice) {
        double targets = slice.sum(true).answers();
        double others = slice.sum(false).answers();
        double weight = others == 0 ? 0 : Math.min(1, OTHERS_FOR_EACH_TARGET * targets / others);
        slice.entries.forEach((key, counts) -> {
            if (key.target() || weight > 0) {
                entries.computeIfAbsent(key, unused -> new Counts()).add(counts, key.target() ? 1 : weight);
            }
        });
    }

    /** Returns a copy. */
    EvidenceSlice copy() {
        EvidenceSlice copy = create();
        entries.forEach((key, counts) -> {
            Counts own = new Counts();
            own.add(counts, 1);
            copy.entries.put(key, own);
        });
        return copy;
    }

    /** Returns what this slice has beyond an earlier one. */
    public EvidenceSlice minus(EvidenceSlice earlier) {
        EvidenceSlice difference = create();
        entries.forEach((key, counts) -> {
            Counts left = new Counts();
            left.add(counts, 1);
            @Nullable Counts before = earlier.entries.get(key);
            if (before != null) {
                left.add(before, -1);
            }
            if (left.answers > 0) {
                difference.entries.put(key, left);
            }
        });
        return difference;
    }

    /** Returns this slice without the answers of one server of the target, in all its starts. */
    EvidenceSlice without(String server) {
        EvidenceSlice rest = create();
        entries.forEach((key, counts) -> {
            if (!key.target() || !serverOf(key).equals(server)) {
                rest.entries.put(key, counts);
            }
        });
        return rest;
    }

    /** Returns the answers of one server of the target, in all its starts. */
    EvidenceSlice only(String server) {
        EvidenceSlice part = create();
        entries.forEach((key, counts) -> {
            if (key.target() && serverOf(key).equals(server)) {
                part.entries.put(key, counts);
            }
        });
        return part;
    }

    /** Returns the routes with answers on a side. */
    Set<RouteName> routes(boolean target) {
        Set<RouteName> routes = new HashSet<>();
        entries.forEach((key, counts) -> {
            if (key.target() == target && counts.answers > 0) {
                routes.add(key.route());
            }
        });
        return routes;
    }

    /** Returns the servers of the target with answers, whatever their starts. */
    Set<String> servers() {
        Set<String> servers = new HashSet<>();
        entries.keySet().forEach(key -> {
            if (key.target() && !key.server().equals(NO_SERVER)) {
                servers.add(serverOf(key));
            }
        });
        return servers;
    }

    private static String serverOf(Key key) {
        int end = key.server().lastIndexOf('@');
        return end < 0 ? key.server() : key.server().substring(0, end);
    }

    /** Returns the number of starts of servers of the target that lost connections. */
    long startsWithLosses() {
        Set<String> starts = new HashSet<>();
        entries.forEach((key, counts) -> {
            if (key.target() && counts.lost > 0) {
                starts.add(key.server());
            }
        });
        return starts.size();
    }

    /** Returns the sum of a side over one route. */
    Counts sum(boolean target, RouteName route) {
        return sum(key -> key.target() == target && key.route().equals(route));
    }

    /** Returns the sum of a side over all routes. */
    Counts sum(boolean target) {
        return sum(key -> key.target() == target);
    }

    /** Returns the sum of one server of the target over all routes. */
    Counts sumOfServer(String server) {
        return sum(key -> key.target() && serverOf(key).equals(server));
    }

    private Counts sum(Predicate<Key> condition) {
        Counts sum = new Counts();
        entries.forEach((key, counts) -> {
            if (condition.test(key)) {
                sum.add(counts, 1);
            }
        });
        return sum;
    }
}
