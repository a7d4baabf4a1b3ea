package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.RouteName;

/**
 * Counts of one daemon on the answers of a service since a rollout began. Invariants: counts only grow; the number of
 * routes and of servers told apart is bounded. Owned by the control thread.
 */
public final class EvidenceCounts {
    /** Pairs of route and server of the target that are told apart; a message with all of them has less than 16 KiB. */
    static final int MAXIMUM_ENTRIES = 64;

    /** Counts of routes beyond the bound. */
    static final RouteName OTHER_ROUTES = RouteName.of("(others)");

    /** A process that ends loses its connections within this time; one that loses others later still runs. */
    private static final long CRASH_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<Key, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Long> firstLossNanos = new HashMap<>();

    private EvidenceCounts() {}

    /** Returns empty counts. */
    static EvidenceCounts create() {
        return new EvidenceCounts();
    }

    private record Key(RouteName route, boolean target, String server) {}

    private static final class Entry {
        private long answers;
        private long failures;
        private long refused;
        private long lost;
        private final long[] times = new long[AnswerTimes.BUCKETS];
        private final long[] durations = new long[AnswerTimes.BUCKETS];
    }

    /** How an attempt ended, as far as it says something of the server. */
    public sealed interface Ending {
        /**
         * It was answered, or its caller left after so long that the time alone tells something.
         *
         * @param timed whether the times count; those of a server that is warming up do not
         */
        record Answered(double startMillis, double endMillis, boolean timed) implements Ending {}

        /** The server refused to run it. */
        record Refused() implements Ending {}

        /** It failed by fault of the server. */
        record Failed() implements Ending {}

        /** The server lost the connection. */
        record ConnectionLost() implements Ending {}
    }

    /**
     * Counts the end of an attempt.
     *
     * @param server the server and its start
     */
    public void record(RouteName route, boolean target, String server, Ending ending, long nowNanos) {
        Entry entry = entry(route, target, target ? server : "");
        entry.answers++;
        switch (ending) {
            case Ending.Answered answered -> {
                if (answered.timed()) {
                    entry.times[AnswerTimes.bucket(answered.startMillis())]++;
                    entry.durations[AnswerTimes.bucket(answered.endMillis())]++;
                }
            }
            case Ending.Refused refused -> entry.refused++;
            case Ending.Failed failed -> entry.failures++;
            case Ending.ConnectionLost lost -> {
                if (isCrash(target ? server : "", nowNanos)) {
                    entry.lost++;
                } else {
                    entry.failures++;
                }
            }
        }
    }

    private boolean isCrash(String server, long nowNanos) {
        if (server.isEmpty()) {
            return true;
        }
        @Nullable Long first = firstLossNanos.get(server);
        if (first == null) {
            if (firstLossNanos.size() < MAXIMUM_ENTRIES) {
                firstLossNanos.put(server, nowNanos);
            }
            return true;
        }
        return nowNanos - first < CRASH_NANOS;
    }

    private Entry entry(RouteName route, boolean target, String server) {
        Key key = new Key(route, target, server);
        @Nullable Entry known = entries.get(key);
        if (known != null) {
            return known;
        }
        // Half of the entries are left to the sums over servers, so that no route loses them to another one's servers.
        if (entries.size() >= MAXIMUM_ENTRIES / 2 && !server.isEmpty()) {
            key = new Key(route, target, "");
        }
        if (entries.size() >= MAXIMUM_ENTRIES - 2 && !entries.containsKey(key)) {
            key = new Key(OTHER_ROUTES, target, "");
        }
        return entries.computeIfAbsent(key, unused -> new Entry());
    }

    /** Returns the counts for a message. */
    List<RouteEvidence> evidence() {
        List<RouteEvidence> evidence = new ArrayList<>(entries.size());
        entries.forEach((key, entry) -> evidence.add(new RouteEvidence(
                key.route(),
                key.target(),
                key.server(),
                entry.answers,
                entry.failures,
                entry.refused,
                entry.lost,
                AnswerTimes.trimmed(entry.times),
                AnswerTimes.trimmed(entry.durations))));
        return evidence;
    }
}
