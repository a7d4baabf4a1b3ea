package org.plantainwharf.room;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.RouteName;

/**
 * Places at which refused callers may return, given in order of refusal at the rate at which room comes back.
 *
 * <p>A caller that returns here is known by its content. One that returns to another daemon is known by a deadline that
 * is shorter than the usual one of its route; callers spread evenly, so such a request takes a due place that this daemon
 * gave to another request of the same account and priority. A caller that states a shorter deadline than it has gains
 * only a place of its own account. Invariants: a place is used once, and forgotten some time after it is due. Owned by
 * the control thread.
 */
final class ReturnPlaces {
    /** Callers that return later than this after their place count as new. */
    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How much earlier than told a caller may arrive, for rounding and other clocks. */
    private static final long EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** Smaller differences between deadlines are the time that callers take to send. */
    private static final long MINIMUM_SHORTER_MILLIS = 15;

    /** Longest time for which the usual deadline of a route is remembered. */
    private static final long DEADLINE_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time within which the same request counts as asked for again, and not as a new one. */
    private static final long REFUSED_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Most places that are kept, and refused requests that are remembered, at a time. */
    private static final int MAXIMUM_PLACES = 8_192;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Integer, Long> nextPlaceNanos = new HashMap<>();
    private final Map<Key, Deque<Place>> byKey = new HashMap<>();
    private final Map<Fingerprint, Place> byContent = new LinkedHashMap<>();
    private final Map<Fingerprint, RefusedRequest> refused = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Fingerprint, RefusedRequest> eldest) {
            return size() > MAXIMUM_PLACES;
        }
    };
    private final Map<RouteName, RecentMaximum> deadlines = new HashMap<>();
    private final RecentMaximum returns = new RecentMaximum();

    private record Key(int priority, AccountName account) {}

    private record Place(Key key, Fingerprint content, long dueNanos) {}

    private record RefusedRequest(long remainingMillis, long refusedNanos) {}

    /** Largest value of the last one or two spans of time. */
    private static final class RecentMaximum {
        private long currentMillis;
        private long previousMillis;
        private long begunNanos;

        private long record(long millis, long nowNanos) {
            if (nowNanos - begunNanos > DEADLINE_MEMORY_NANOS) {
                previousMillis = currentMillis;
                currentMillis = 0;
                begunNanos = nowNanos;
            }
            currentMillis = Math.max(currentMillis, millis);
            return Math.max(currentMillis, previousMillis);
        }
    }

    /**
     * Returns the time since the caller of a request first asked, as far as its deadline may show it; 0 for a new request.
     * Callers of a route may have different deadlines, so a difference counts only up to the longest time to return that
     * was given lately, and is no proof that the caller has asked before.
     */
    long elapsedMillis(RoomRequest request, long nowNanos) {
        long usual = deadlines
                .computeIfAbsent(request.route(), route -> new RecentMaximum())
                .record(request.remainingMillis(), nowNanos);
        long shorter = usual - request.remainingMillis();
        return shorter < MINIMUM_SHORTER_MILLIS ? 0 : Math.min(shorter, returns.record(0, nowNanos));
    }

    /** Takes the place that is kept for a request; returns false if none is due. */
    boolean take(RoomRequest request, long elapsedMillis, long nowNanos) {
        Place own = byContent.get(request.content());
        if (own != null) {
            if (nowNanos - own.dueNanos() < -EARLY_NANOS) {
                return false;
            }
            remove(own);
            return true;
        }
        Deque<Place> places = byKey.get(new Key(request.priority(), request.account()));
        if (elapsedMillis == 0 || places == null || nowNanos - places.getFirst().dueNanos() < -EARLY_NANOS) {
            return false;
        }
        remove(places.getFirst());
        return true;
    }

    /** Records that a request was refused. */
    void recordRefused(RoomRequest request, long nowNanos) {
        refused.put(request.content(), new RefusedRequest(request.remainingMillis(), nowNanos));
    }

    /**
     * Returns whether the caller of this request was refused here lately. A request with the same content whose deadline is
     * later is one of another caller.
     */
    boolean wasRefused(RoomRequest request, long nowNanos) {
        RefusedRequest earlier = refused.get(request.content());
        if (earlier == null || nowNanos - earlier.refusedNanos() >= REFUSED_MEMORY_NANOS) {
            return false;
        }
        long remaining = earlier.remainingMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - earlier.refusedNanos());
        return request.remainingMillis() <= remaining + MINIMUM_SHORTER_MILLIS;
    }

    /**
     * Gives the next free place.
     *
     * @param earliestMillis when room comes back at the earliest
     * @param perSecond rate of places
     * @param latestMillis when the caller has to return at the latest
     * @return time until the place; empty if no place is free in time
     */
    OptionalLong reserve(
            RoomRequest request, double earliestMillis, double perSecond, double latestMillis, long nowNanos) {
        Place own = byContent.get(request.content());
        if (own != null) {
            // The caller has returned too early; its place is still kept.
            return OptionalLong.of(Math.max(1, TimeUnit.NANOSECONDS.toMillis(own.dueNanos() - nowNanos)));
        }
        long earliest = nowNanos + (long) (earliestMillis * 1e6);
        long due = Math.max(earliest, nextPlaceNanos.getOrDefault(request.priority(), earliest));
        if (due - nowNanos > latestMillis * 1e6 || byContent.size() >= MAXIMUM_PLACES) {
            return OptionalLong.empty();
        }
        nextPlaceNanos.put(request.priority(), due + (long) (NANOS_PER_SECOND / Math.max(0.1, perSecond)));
        long millis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(due - nowNanos + 999_999));
        returns.record(millis, nowNanos);
        Key key = new Key(request.priority(), request.account());
        Place place = new Place(key, request.content(), nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
        byContent.put(request.content(), place);
        byKey.computeIfAbsent(key, any -> new ArrayDeque<>()).add(place);
        return OptionalLong.of(millis);
    }

    /** Forgets places whose callers have not returned; returns their number. */
    int expire(long nowNanos) {
        int expired = 0;
        for (Iterator<Place> places = byContent.values().iterator(); places.hasNext(); ) {
            Place place = places.next();
            if (nowNanos - place.dueNanos() > KEPT_NANOS) {
                places.remove();
                forget(place);
                expired++;
            }
        }
        return expired;
    }

    private void remove(Place place) {
        byContent.remove(place.content());
        forget(place);
    }

    private void forget(Place place) {
        Optional.ofNullable(byKey.get(place.key())).ifPresent(places -> {
            places.remove(place);
            if (places.isEmpty()) {
                byKey.remove(place.key());
            }
        });
    }

    /** Returns the number of places that are kept. */
    int kept() {
        return byContent.size();
    }
}
