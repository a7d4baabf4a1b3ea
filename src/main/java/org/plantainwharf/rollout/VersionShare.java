package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;

/**
 * Which version of a service under a rollout the requests of this daemon go to. Invariant: while the rollout is observed,
 * the requests that begin at the target version are at most half of the permitted share of this daemon's own requests
 * since it knows of the rollout, and a part of the permitted slack, while a server of another version is ready. So the sum over all daemons keeps the bound, whatever
 * their traffic, without a message. Reads no clock and draws no numbers. Owned by the control thread.
 */
public final class VersionShare {
    /** The other half of the bound is kept for the time between a step that grows the share and what it shows. */
    private static final double OBSERVED_PART_OF_SHARE = 0.5;

    /** Mean part of the slack that all daemons together use at first; daemons that start later use it again. */
    private static final double USED_PART_OF_SLACK = 0.5;

    /** Part of the slack that streams may use that go on at the target version, and at least one request a daemon. */
    private static final double PART_OF_SLACK_FOR_STREAMS = 0.2;

    /** The part of a daemon in all requests is known from the leader's first grant of limits, within a second. */
    private static final long SLACK_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** A single server of the target may stand for half of a service that has only one or two servers. */
    private static final double MAXIMUM_PACE = 0.5;

    /** Sums of fractions of a request, such as ten times 0.1, are a little less than 1. */
    private static final double WHOLE_REQUEST = 0.999_999;

    /** The share waits for a request of a route without evidence for at most so many other requests. */
    private static final int LONGEST_WAIT_FOR_ROUTE = 20;

    private static final int REQUESTS_OF_ROUTE = 2;

    private static final int MAXIMUM_ROUTES = 256;

    private static final int MAXIMUM_VERSIONS = 64;

    /** Orders of the servers that steps of one thousandth lead through. Larger steps keep the last digit. */
    static final int ORDERS = 10;

    /** One in so many requests of the share goes to a further server. */
    private static final int REQUESTS_PER_FURTHER_SERVER = 4;

    /** With more servers than this in the share, none of them stands for the version alone. */
    private static final int MAXIMUM_SERVERS_WITH_FURTHER_ONE = 2;

    /**
     * Time after the verdict within which nothing is sent to former versions. Their servers stop at once; versions that
     * serve later belong to changes without a rollout.
     */
    static final long FORMER_VERSIONS_NANOS = TimeUnit.SECONDS.toNanos(30);

    private Rollout rollout;
    private long phaseSinceNanos;
    private final RolloutBounds bounds;
    private final double draw;
    private final long sinceNanos;
    private final EvidenceCounts counts = EvidenceCounts.create();
    private final Map<ServerVersion, Long> heardNanos = new LinkedHashMap<>();
    private final Set<ServerVersion> confirmed = new HashSet<>();
    private int readyTargets;
    private int readyOthers;
    private final Map<RouteName, RouteShare> routes = new HashMap<>();
    private double earned;
    private double pace;
    private int waited;
    private long requests;
    private long sentToTarget;
    private long sentToOthers;

    /** What was sent of one route. */
    private static final class RouteShare {
        private long requests;
        private long sentToTarget;
    }

    /** The two sides of a rollout. */
    public enum Side {
        /** Servers of the target version. */
        TARGET,
        /** Servers of all other versions. */
        OTHERS
    }

    /** Where the next attempt of a request may go. Immutable. */
    public sealed interface Plan {
        /** Returns why, as one word for log lines. */
        String reason();

        /** It goes to no server. */
        record Nowhere(String reason) implements Plan {}

        /** It goes to any server. */
        record Anywhere(String reason) implements Plan {}

        /** It goes to any server of one side. */
        record Only(Side side, String reason) implements Plan {}

        /** It goes to few servers of the target version, or else to the other side. */
        record Shared(int servers, String reason) implements Plan {}

        /** It goes to a side, or if that has no server for it, to the other one. */
        record Preferred(Side side, String reason) implements Plan {}
    }

    /**
     * What a decision needs to know of a request and this daemon. Immutable.
     *
     * @param origin version at which the request's stream goes on; empty for one that begins
     * @param inTouch whether this daemon's copy of the log is known to be new
     * @param evenShare part of all requests that comes to a daemon on average
     */
    public record Attempt(
            RouteName route, Optional<ServerVersion> origin, boolean inTouch, double evenShare, long nowNanos) {}

    private VersionShare(Rollout rollout, RolloutBounds bounds, double draw, long nowNanos) {
        this.rollout = rollout;
        this.bounds = bounds;
        this.draw = draw;
        this.pace = draw;
        this.sinceNanos = nowNanos;
        this.phaseSinceNanos = nowNanos;
    }

    /**
     * Returns the share of a daemon that has just learned of a rollout.
     *
     * @param draw random number from 0 to 1 that spreads the first requests of all daemons
     */
    public static VersionShare create(Rollout rollout, RolloutBounds bounds, double draw, long nowNanos) {
        return new VersionShare(rollout, bounds, draw, nowNanos);
    }

    /** Returns the rollout. */
    public Rollout rollout() {
        return rollout;
    }

    /** Returns the counts of answers. */
    public EvidenceCounts counts() {
        return counts;
    }

    /** Returns when this daemon learned of the rollout. */
    public long sinceNanos() {
        return sinceNanos;
    }

    void setRollout(Rollout newer, long nowNanos) {
        if (!newer.phase().equals(rollout.phase())) {
            phaseSinceNanos = nowNanos;
        }
        rollout = newer;
    }

    private boolean excludesFormerVersions(long nowNanos) {
        return nowNanos - phaseSinceNanos < FORMER_VERSIONS_NANOS;
    }

    void setReadyServers(int targets, int others) {
        readyTargets = targets;
        readyOthers = others;
    }

    /** Records that a server of a version is known. The version is confirmed once the copy of the log is newer than that. */
    void hear(ServerVersion version, long nowNanos) {
        heardNanos.putIfAbsent(version, nowNanos);
    }

    /** Takes over what an earlier rollout of the service knew of versions. */
    void copyVersions(VersionShare earlier) {
        heardNanos.putAll(earlier.heardNanos);
        confirmed.addAll(earlier.confirmed);
    }

    /** Forgets versions that no server runs any more, once there are many. */
    void forgetVersionsExcept(Set<ServerVersion> present) {
        if (heardNanos.size() > MAXIMUM_VERSIONS) {
            heardNanos.keySet().retainAll(present);
            confirmed.retainAll(present);
        }
    }

    /** Confirms versions that were heard of before a time until which the copy of the log is complete. */
    void confirmUntil(long completeNanos) {
        heardNanos.forEach((version, heard) -> {
            if (completeNanos - heard >= 0) {
                confirmed.add(version);
            }
        });
    }

    /** Returns whether a version was heard of while this daemon was in touch with the log. */
    public boolean isConfirmed(ServerVersion version) {
        return confirmed.contains(version);
    }

    /** Returns whether a server with this version is of the target. */
    public Side side(ServerVersion version) {
        return version.equals(rollout.target()) ? Side.TARGET : Side.OTHERS;
    }

    /** Returns whether the verdict forbids everything at a version. */
    public boolean isGone(ServerVersion version, long nowNanos) {
        return switch (rollout.phase()) {
            case RolloutPhase.RolledBack rolledBack -> side(version) == Side.TARGET;
            case RolloutPhase.Completed completed ->
                side(version) == Side.OTHERS && readyTargets > 0 && excludesFormerVersions(nowNanos);
            case RolloutPhase.Observing observing -> false;
            case RolloutPhase.Growing growing -> false;
            case RolloutPhase.Retiring retiring -> false;
        };
    }

    /** Returns where the next attempt of a request may go. The result does not change the share. */
    public Plan plan(Attempt attempt) {
        return attempt.origin().isPresent()
                ? planForStream(attempt, side(attempt.origin().get()))
                : planForBeginning(attempt);
    }

    private Plan planForStream(Attempt attempt, Side side) {
        if (isGone(attempt.origin().orElseThrow(), attempt.nowNanos())) {
            return new Plan.Nowhere("version_gone");
        }
        if (side == Side.TARGET && rollout.inProgress()) {
            if (!attempt.inTouch()) {
                return new Plan.Nowhere("out_of_touch");
            }
            double forStreams = Math.max(1, PART_OF_SLACK_FOR_STREAMS * bounds.exposureSlack() * attempt.evenShare());
            if (!(rollout.phase() instanceof RolloutPhase.Retiring)
                    && sentToTarget + WHOLE_REQUEST > allowed(attempt) + forStreams) {
                return new Plan.Nowhere("share_used");
            }
        }
        return new Plan.Only(side, "stream_began_there");
    }

    private Plan planForBeginning(Attempt attempt) {
        return switch (rollout.phase()) {
            case RolloutPhase.RolledBack rolledBack -> new Plan.Only(Side.OTHERS, "rolled_back");
            case RolloutPhase.Completed completed
            when !excludesFormerVersions(attempt.nowNanos()) -> new Plan.Anywhere("completed_earlier");
            case RolloutPhase.Completed completed ->
                readyTargets > 0
                        ? new Plan.Only(Side.TARGET, "completed")
                        : new Plan.Preferred(Side.TARGET, "completed_without_ready_server");
            case RolloutPhase.Retiring retiring -> {
                if (!attempt.inTouch()) {
                    yield new Plan.Only(Side.OTHERS, "out_of_touch");
                }
                yield readyTargets > 0
                        ? new Plan.Only(Side.TARGET, "retiring")
                        : new Plan.Preferred(Side.TARGET, "retiring_without_ready_server");
            }
            case RolloutPhase.Observing observing -> planWithinShare(attempt);
            case RolloutPhase.Growing growing -> planWithinShare(attempt);
        };
    }

    private Plan planWithinShare(Attempt attempt) {
        if (!attempt.inTouch()) {
            return new Plan.Only(Side.OTHERS, "out_of_touch");
        }
        // Without another version the requests beyond the share could only be refused.
        if (readyOthers == 0 && readyTargets > 0) {
            return new Plan.Preferred(Side.OTHERS, "no_other_server_ready");
        }
        if (sentToTarget + WHOLE_REQUEST > allowed(attempt)) {
            return new Plan.Only(Side.OTHERS, "share_used");
        }
        if (pace + paceOfRequest() < WHOLE_REQUEST) {
            return new Plan.Only(Side.OTHERS, "paced");
        }
        return isRouteServed(attempt.route())
                ? new Plan.Only(Side.OTHERS, "other_routes_first")
                : new Plan.Shared(serversInShare(), "within_share");
    }

    /** Returns whether a route has had its part while another one waits for its first request at the target. */
    private boolean isRouteServed(RouteName route) {
        @Nullable RouteShare share = routes.get(route);
        return share != null
                && share.sentToTarget > 0
                && waited < LONGEST_WAIT_FOR_ROUTE
                && routes.values().stream()
                        .anyMatch(other -> other.sentToTarget == 0 && other.requests >= REQUESTS_OF_ROUTE);
    }

    /** Returns how many servers of the target bear the share, each with the load that the others have left. */
    private int serversInShare() {
        double share = Math.min(MAXIMUM_PACE, sharePerRequest());
        return Math.max(1, (int) Math.round(share * readyOthers / (1 - share)));
    }

    private double allowed(Attempt attempt) {
        double slack = attempt.nowNanos() - sinceNanos < SLACK_DELAY_NANOS
                ? 0
                : 2 * draw * USED_PART_OF_SLACK * bounds.exposureSlack() * attempt.evenShare();
        return earned + sharePerRequest() + slack;
    }

    private double sharePerRequest() {
        return switch (rollout.phase()) {
            case RolloutPhase.Observing observing -> OBSERVED_PART_OF_SHARE * bounds.exposureShare();
            case RolloutPhase.Growing growing -> growing.boundedPermille() / (double) RolloutPhase.WHOLE_PERMILLE;
            case RolloutPhase.Retiring retiring -> 1;
            case RolloutPhase.Completed completed -> 1;
            case RolloutPhase.RolledBack rolledBack -> 0;
        };
    }

    /** The servers of the target get requests as fast as as many of the others do, also while a share was saved up. */
    private double paceOfRequest() {
        double oneServer = Math.min(MAXIMUM_PACE, 1.0 / (1 + readyOthers));
        return Math.min(Math.max(sharePerRequest(), oneServer), Math.max(1, readyTargets) * oneServer);
    }

    /**
     * Returns the servers of the target that may get a request in the share: the first ones by rendezvous hashing, which
     * are the same in every daemon, so that they see the load that the old servers see; for some requests the next one,
     * so that a version is not judged by one server. A step of one thousandth goes to other servers, so that a version
     * that is bad is told from a single bad server.
     *
     * @param ready servers of the target that the request may go to
     * @param servers number of servers that the share is for
     */
    public List<ServerId> serversInShare(List<ServerId> ready, int servers, long ticket) {
        if (ready.size() <= servers) {
            return ready;
        }
        String key = rollout.target() + "/" + rollout.phase().order() % ORDERS;
        List<ServerId> ordered = new ArrayList<>(ready);
        ordered.sort(Comparator.comparingLong(server -> hash(key, server.value())));
        boolean further = servers <= MAXIMUM_SERVERS_WITH_FURTHER_ONE
                && Math.floorMod(hash(key, Long.toString(ticket)), REQUESTS_PER_FURTHER_SERVER) == 0;
        return further ? List.of(ordered.get(servers)) : List.copyOf(ordered.subList(0, servers));
    }

    private static long hash(String key, String value) {
        long mixed = ((long) key.hashCode() << Integer.SIZE) ^ value.hashCode();
        mixed = (mixed ^ mixed >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }

    /**
     * Counts an attempt that is sent.
     *
     * @param first whether it is the first attempt of its request
     */
    public void recordSent(RouteName route, ServerVersion version, boolean first) {
        RouteShare share = routes.size() < MAXIMUM_ROUTES
                ? routes.computeIfAbsent(route, name -> new RouteShare())
                : routes.getOrDefault(route, new RouteShare());
        if (first) {
            requests++;
            share.requests++;
            earned += sharePerRequest();
            // A share that is saved up until the target has servers does not reach the first one at once.
            waited = pace + paceOfRequest() < WHOLE_REQUEST ? waited : waited + 1;
            pace = readyTargets == 0 ? pace : Math.min(1, pace + paceOfRequest());
        }
        if (side(version) == Side.TARGET) {
            sentToTarget++;
            share.sentToTarget++;
            waited = 0;
            pace = Math.max(0, pace - 1);
        } else {
            sentToOthers++;
        }
    }

    /** Returns the requests of this daemon since it knows of the rollout. */
    public long requests() {
        return requests;
    }

    /** Returns the attempts at the target version. */
    public long sentToTarget() {
        return sentToTarget;
    }

    /** Returns the attempts at other versions. */
    public long sentToOthers() {
        return sentToOthers;
    }
}
