package org.plantainwharf.room;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.room.RoomDecision.Basis;

/**
 * Room of one service as this daemon sees it: demand, capacity, shares, credit of accounts and places to return.
 *
 * <p>The capacity for a priority and those more urgent is what servers can do, times an efficiency that falls while requests
 * of the priority wait long and rises while requests are refused and none waits, since what servers do beside each other
 * is not known. Invariant: a grant is used only while valid. Owned by the control thread.
 */
final class ServiceRoom {
    /** Largest number of accounts with credit; those that asked longest ago are forgotten. */
    private static final int MAXIMUM_CREDITS = 8_192;

    /** Most requests that an account may let in at once after it asked for less than its share. */
    private static final double MAXIMUM_CREDIT = 2;

    /** Pressure from which room is short, and below which it is short no longer. */
    private static final double SHORT_PRESSURE = 1;

    private static final double SUFFICIENT_PRESSURE = 0.85;

    /** Part of the admitted requests of a priority whose room is kept for callers that return. */
    private static final double RETURNING_FRACTION = 0.5;

    /** Part of the target that a caller may still wait after its return. */
    private static final double WAIT_AFTER_RETURN_TARGETS = 0.2;

    private static final int LOCAL_ACCOUNTS = 1_000;

    /** Time of a slot for each token of an answer before any answer was measured. */
    private static final double INITIAL_MILLIS_PER_OUTPUT_TOKEN = 10;

    private static final double OUTPUT_SMOOTHING_WEIGHT = 0.05;
    private static final double WORK_STEP = 0.05;
    private static final double INITIAL_WORK_MILLIS = 30;

    private final DemandMeter meter = new DemandMeter();
    private final ReturnPlaces places = new ReturnPlaces();
    private final Map<Key, Double> credits = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Double> eldest) {
            return size() > MAXIMUM_CREDITS;
        }
    };
    private RoomShare localShare = RoomShare.everything();
    private @Nullable RoomShare grantedShare;
    private long grantedUntilNanos;
    private boolean isShort;
    private double serverMillisPerSecond;
    private final SortedMap<Integer, RecentWait> waits = new TreeMap<>();
    private double averageStreamMillis;
    private double millisPerOutputToken = INITIAL_MILLIS_PER_OUTPUT_TOKEN;
    private double workMillis = INITIAL_WORK_MILLIS;

    private record Key(int priority, AccountName account) {}

    /**
     * Decides on a request while room is short.
     *
     * @param random decides which requests of an account are within its share
     */
    RoomDecision decide(RoomRequest request, double longestReturnMillis, RandomGenerator random, long nowNanos) {
        long elapsedMillis = places.elapsedMillis(request, nowNanos);
        boolean keptPlace = places.take(request, elapsedMillis, nowNanos);
        boolean repeated = !keptPlace && places.wasRefused(request, nowNanos);
        boolean returning = keptPlace || repeated;
        recordAsked(request, returning);
        Key key = new Key(request.priority(), request.account());
        double credit = credits.computeIfAbsent(key, any -> random.nextDouble());
        if (!returning) {
            double fraction = share(nowNanos).admittedFraction(request.priority(), request.account());
            credit = Math.min(MAXIMUM_CREDIT, credit + fraction);
        }
        // A fixed threshold would admit the same ones of callers that ask for sizes in turns. Who repeats before its
        // place
        // is due must not gain by another draw.
        double spread = repeated ? -0.5 : random.nextDouble() - 0.5;
        RoomAdmission.Standing standing = new RoomAdmission.Standing(
                credit + spread,
                keptPlace,
                elapsedMillis,
                meter.averageAnswerMillis(request.priority()),
                meter.belowFloor(request.priority()),
                meter.anyBelowFloorAfter(request.priority()),
                meter.longestWaitBefore(request.priority()));
        Optional<Basis> basis = RoomAdmission.basis(request, standing);
        if (basis.isPresent()) {
            credits.put(
                    key, basis.get() == Basis.FREE_PLACE ? credit : Math.max(-RoomAdmission.MAXIMUM_DEBT, credit - 1));
            meter.recordAdmitted(request.priority(), request.place().workMillis());
            return new RoomDecision.Admitted(basis.get());
        }
        credits.put(key, credit);
        places.recordRefused(request, nowNanos);
        return new RoomDecision.Refused(
                RoomAdmission.reason(request, standing), reserve(request, standing, longestReturnMillis, nowNanos));
    }

    /** Gives a place at which an answer can still be within the target. */
    private OptionalLong reserve(
            RoomRequest request, RoomAdmission.Standing standing, double longestReturnMillis, long nowNanos) {
        double answerMillis = Math.min(request.place().answerMillis(), standing.averageAnswerMillis());
        double latest = Math.min(
                longestReturnMillis,
                request.targetMillis() * (1 - WAIT_AFTER_RETURN_TARGETS) - standing.elapsedMillis() - answerMillis);
        double earliest =
                Math.max(1, request.place().waitMillis() - RoomAdmission.longestWaitMillis(request, standing));
        RoomShare.PriorityShare share = share(nowNanos).priorities().get(request.priority());
        double perSecond = RETURNING_FRACTION
                * meter.requestsPerSecond(request.priority())
                * (share == null ? 1 : share.admittedFraction());
        return places.reserve(request, earliest, perSecond, latest, nowNanos);
    }

    private void recordAsked(RoomRequest request, boolean returning) {
        if (!returning) {
            meter.recordAsked(
                    request.priority(),
                    request.account(),
                    request.place().workMillis(),
                    request.place().answerMillis(),
                    request.targetMillis());
        }
    }

    /** Records a request that is let in while room suffices. */
    void recordUndecided(RoomRequest request, boolean admitted, long nowNanos) {
        recordAsked(request, places.wasRefused(request, nowNanos));
        if (admitted) {
            meter.recordAdmitted(request.priority(), request.place().workMillis());
        }
    }

    /** Records how long a request waited at a server before its work began. */
    void recordWait(int priority, double waitMillis, long targetMillis) {
        waits.computeIfAbsent(priority, key -> new RecentWait()).record(waitMillis, targetMillis);
    }

    /** Returns how long requests of a priority waited lately. */
    double recentWaitMillis(int priority) {
        RecentWait wait = waits.get(priority);
        return wait == null ? 0 : wait.averageMillis();
    }

    /** Returns the average time of a slot between the start and the end of an answer; 0 before the first. */
    double averageStreamMillis() {
        return averageStreamMillis;
    }

    /** Records how long the stream of an answer took. */
    void recordStream(double millis, long outputTokens) {
        averageStreamMillis = averageStreamMillis == 0
                ? millis
                : averageStreamMillis + OUTPUT_SMOOTHING_WEIGHT * (millis - averageStreamMillis);
        if (outputTokens > 0) {
            millisPerOutputToken += OUTPUT_SMOOTHING_WEIGHT * (millis / outputTokens - millisPerOutputToken);
        }
    }

    /** Records how long a request without a prompt took, also with others before it. */
    void recordWork(double millis, boolean waited) {
        if (millis < workMillis) {
            workMillis *= 1 - WORK_STEP;
        } else if (!waited) {
            workMillis *= 1 + WORK_STEP;
        }
    }

    /**
     * Ends a period.
     *
     * @param serverMillis work that all ready servers do in a second if nothing slows them down, in milliseconds
     * @param part of the service's demand that this daemon gets, while it has no grant
     */
    void endPeriod(double seconds, double serverMillis, double part, long nowNanos) {
        meter.endPeriod(seconds);
        serverMillisPerSecond = serverMillis;
        waits.values().forEach(wait -> wait.endPeriod(isShort));
        Map<Integer, RoomDemand.PriorityDemand> ofPart = new HashMap<>();
        demands(LOCAL_ACCOUNTS)
                .forEach((priority, demand) -> ofPart.put(
                        priority,
                        new RoomDemand.PriorityDemand(
                                demand.askedPerSecond(), part * demand.capacityPerSecond(), demand.accounts())));
        localShare = RoomAllocation.divide(ofPart, LOCAL_ACCOUNTS);
        double pressure = share(nowNanos).pressure();
        isShort = pressure > (isShort ? SUFFICIENT_PRESSURE : SHORT_PRESSURE);
    }

    /** Returns the number of places that expired unused. */
    int expirePlaces(long nowNanos) {
        return places.expire(nowNanos);
    }

    /** Uses shares that the leader has worked out. */
    void applyGrant(RoomShare share, long untilNanos) {
        if (grantedShare == null || untilNanos - grantedUntilNanos >= 0) {
            grantedShare = share;
            grantedUntilNanos = untilNanos;
        }
    }

    /** Returns the shares in force: those granted while they are valid, or else this daemon's own. */
    RoomShare share(long nowNanos) {
        RoomShare granted = grantedShare;
        return granted != null && nowNanos - grantedUntilNanos < 0 ? granted : localShare;
    }

    /** Returns whether the shares in force are granted. */
    boolean isGranted(long nowNanos) {
        return grantedShare != null && nowNanos - grantedUntilNanos < 0;
    }

    boolean isShort() {
        return isShort;
    }

    /** Returns what is admitted of the work that the servers would do with nothing beside it, by priority. */
    Map<Integer, Double> efficiencies() {
        Map<Integer, Double> efficiencies = new TreeMap<>();
        waits.forEach((priority, wait) -> efficiencies.put(priority, wait.efficiency()));
        return efficiencies;
    }

    int keptPlaces() {
        return places.kept();
    }

    double millisPerOutputToken() {
        return millisPerOutputToken;
    }

    double workMillis() {
        return workMillis;
    }

    double fractionAtLeastAsUrgent(int priority) {
        return meter.fractionAtLeastAsUrgent(priority);
    }

    /** Returns the demand with the capacity of all servers for each priority and those more urgent together. */
    Map<Integer, RoomDemand.PriorityDemand> demands(int maximumAccounts) {
        Map<Integer, RoomDemand.PriorityDemand> demands = new HashMap<>();
        meter.demands(maximumAccounts).forEach((priority, demand) -> {
            RecentWait wait = waits.get(priority);
            double capacity = serverMillisPerSecond * (wait == null ? 1 : wait.efficiency());
            demands.put(priority, new RoomDemand.PriorityDemand(demand.askedPerSecond(), capacity, demand.accounts()));
        });
        return demands;
    }
}
