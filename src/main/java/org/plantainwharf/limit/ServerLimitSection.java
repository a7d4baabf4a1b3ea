package org.plantainwharf.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.message.ServerLimitShare;
import org.plantainwharf.message.ServerLimitUse;
import org.plantainwharf.registry.ServerReport;

/**
 * Request limits that servers name in their answers and that all daemons together keep to. Entry daemons hold their part
 * of each limit; control daemons hold what entry daemons report. Servers without a limit have no entry. Written by the
 * allowance controller, and by the forward controller, which records answers and charges requests. Owned by the control
 * thread.
 */
public final class ServerLimitSection {
    /** Limits reported by one daemon at a time; those with the most demand, so that messages stay small. */
    static final int MAXIMUM_REPORTED_LIMITS = 64;

    /** Time for which the end of a limit is reported, so that daemons that do not use the server learn of it. */
    private static final long ENDED_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Pauses kept; the ones requested first are dropped first. */
    private static final int MAXIMUM_PAUSES = 8_192;

    private final Map<ServerId, ServerLimit> limits = new HashMap<>();
    private final Map<ServerId, Pause> pauses = new LinkedHashMap<>();
    private final ServerLimitAggregator aggregator = new ServerLimitAggregator();

    /** A pause that one start of a server has requested of this daemon. Immutable. */
    private record Pause(long startEpochMillis, long untilNanos) {}

    private ServerLimitSection() {}

    /** Returns a section without limits. */
    public static ServerLimitSection create() {
        return new ServerLimitSection();
    }

    /**
     * Records the limit that a server named in an answer.
     *
     * @param named requests per second; empty if the answer named no limit
     * @param initialFraction fraction of the limit that this daemon may use until it is granted one
     * @param random returns evenly distributed numbers in 0 to 1
     * @return whether the limit has changed as far as this daemon knows
     */
    public boolean recordAnswer(
            ServerId server, OptionalDouble named, double initialFraction, DoubleSupplier random, long nowNanos) {
        @Nullable ServerLimit known = limits.get(server);
        if (known == null && named.isEmpty()) {
            return false;
        }
        ServerLimit limit =
                limits.computeIfAbsent(server, id -> new ServerLimit(initialFraction, random.getAsDouble(), nowNanos));
        boolean changed = !limit.requestsPerSecond().equals(named);
        limit.recordAnswer(named, nowNanos);
        return changed;
    }

    /**
     * Records that a start of a server wants no requests of this daemon for a time. A pause is never shortened by the same
     * start, nor replaced by an earlier one.
     */
    public void pause(ServerId server, long startEpochMillis, long millis, long nowNanos) {
        long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        @Nullable Pause known = pauses.get(server);
        if (known != null
                && (known.startEpochMillis() > startEpochMillis
                        || known.startEpochMillis() == startEpochMillis && known.untilNanos() - untilNanos >= 0)) {
            return;
        }
        pauses.remove(server);
        pauses.put(server, new Pause(startEpochMillis, untilNanos));
        if (pauses.size() > MAXIMUM_PAUSES) {
            pauses.remove(pauses.keySet().iterator().next());
        }
    }

    /**
     * Returns whether this daemon may send a server a request now: the server wants no pause, and this daemon's part of
     * its limit suffices.
     */
    public boolean permits(ServerReport server, long nowNanos) {
        @Nullable ServerLimit limit = limits.get(server.server());
        return pauseMillis(server, nowNanos) == 0 && (limit == null || limit.permits(nowNanos));
    }

    /** Returns the time until this daemon may send a server a request, in milliseconds. */
    public long millisUntilPermitted(ServerReport server, long nowNanos) {
        @Nullable ServerLimit limit = limits.get(server.server());
        return Math.max(pauseMillis(server, nowNanos), limit == null ? 0 : limit.millisUntilPermitted(nowNanos));
    }

    /** Returns the rest of the pause that this start of the server has requested, in milliseconds; 0 without one. */
    public long pauseMillis(ServerReport server, long nowNanos) {
        @Nullable Pause pause = pauses.get(server.server());
        if (pause == null || pause.startEpochMillis() != server.startEpochMillis()) {
            return 0;
        }
        long remainingNanos = pause.untilNanos() - nowNanos;
        return remainingNanos <= 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(remainingNanos) + 1;
    }

    /** Returns the requests per second that this daemon may send a server; infinite if the server has no limit. */
    public double ratePerSecond(ServerId server) {
        @Nullable ServerLimit limit = limits.get(server);
        return limit == null || limit.requestsPerSecond().isEmpty()
                ? Double.POSITIVE_INFINITY
                : limit.requestsPerSecond().getAsDouble() * limit.fraction();
    }

    /** Records that this daemon would send a server a request if its share of the limit sufficed. */
    public void recordWanted(ServerId server) {
        @Nullable ServerLimit limit = limits.get(server);
        if (limit != null) {
            limit.recordWanted();
        }
    }

    /** Charges a request that is sent to a server. */
    public void charge(ServerId server, long nowNanos) {
        @Nullable ServerLimit limit = limits.get(server);
        if (limit != null) {
            limit.charge(nowNanos);
        }
    }

    /**
     * Returns what this daemon reports of the limits, and begins a new period of its demand.
     *
     * @param isKnown returns whether a server still reports itself; limits of others are forgotten
     */
    Map<ServerId, ServerLimitUse> takeReport(double periodSeconds, Predicate<ServerId> isKnown, long nowNanos) {
        limits.entrySet()
                .removeIf(entry ->
                        !isKnown.test(entry.getKey()) || entry.getValue().isIdle(nowNanos, ENDED_LIMIT_NANOS));
        limits.values().forEach(limit -> limit.endPeriod(periodSeconds));
        pauses.values().removeIf(pause -> pause.untilNanos() - nowNanos <= 0);
        Map<ServerId, ServerLimitUse> report = new LinkedHashMap<>();
        limits.entrySet().stream()
                .sorted(Comparator.comparingDouble((Map.Entry<ServerId, ServerLimit> entry) ->
                                -entry.getValue().demandPerSecond())
                        .thenComparing(entry -> entry.getKey().value()))
                .limit(MAXIMUM_REPORTED_LIMITS)
                .forEach(entry -> report.put(
                        entry.getKey(),
                        new ServerLimitUse(
                                entry.getValue().requestsPerSecond(),
                                entry.getValue().ownAgeMillis(nowNanos),
                                entry.getValue().demandPerSecond())));
        return report;
    }

    /** Applies the shares of a grant. Limits that it does not contain are divided evenly. */
    void applyShares(
            double evenFraction, Map<ServerId, ServerLimitShare> shares, DoubleSupplier random, long nowNanos) {
        limits.forEach((server, limit) -> {
            if (!shares.containsKey(server)) {
                limit.setFraction(evenFraction, nowNanos);
            }
        });
        shares.forEach((server, share) -> {
            if (share.requestsPerSecond().isPresent() || limits.containsKey(server)) {
                limits.computeIfAbsent(server, id -> new ServerLimit(share.fraction(), random.getAsDouble(), nowNanos))
                        .applyShare(share, nowNanos);
            }
        });
    }

    /** Reduces the fractions once, when this daemon's grant has ended. */
    void reduceFractions(double factor, long nowNanos) {
        limits.values().forEach(limit -> limit.setFraction(limit.fraction() * factor, nowNanos));
    }

    ServerLimitAggregator aggregator() {
        return aggregator;
    }
}
