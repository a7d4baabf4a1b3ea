package org.plantainwharf.handover;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.KnownServer;

/**
 * Tells a daemon that is cut off from the servers of a service from servers that are down: connections to several servers
 * fail one after the other without one that succeeds, while control daemons go on receiving reports of these servers.
 *
 * <p>Invariant: a connection that succeeds clears all failures. Owned by the control thread; modified only by the reach
 * controller.
 */
final class ServiceReach {
    /** Servers to which connections must have failed. Fewer may be down without anything being wrong here. */
    static final int FAILED_SERVERS = 3;

    /** Time after which a connection that failed says nothing any more. */
    static final long FAILURE_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time in which traffic returns to the servers once connections succeed. */
    static final long RETURN_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Failures to open a connection to one server since a connection to any server succeeded. */
    private record Failures(long firstNanos, long lastNanos) {}

    private final Map<ServerId, Failures> failures = new LinkedHashMap<>();
    private long answeredNanos;
    private boolean answered;
    private Reach reach = new Reach.Open();

    private ServiceReach() {}

    static ServiceReach create() {
        return new ServiceReach();
    }

    Reach reach() {
        return reach;
    }

    boolean hasFailures() {
        return !failures.isEmpty();
    }

    boolean hasFailed(ServerId server) {
        return failures.containsKey(server);
    }

    /** Records that no connection to a server could be opened. */
    void recordFailed(ServerId server, long nowNanos) {
        failures.merge(
                server, new Failures(nowNanos, nowNanos), (old, last) -> new Failures(old.firstNanos(), nowNanos));
    }

    /** Records that a connection to a server was opened. */
    void recordConnected() {
        failures.clear();
    }

    /** Records that a server has answered. */
    void recordAnswered(long nowNanos) {
        answered = true;
        answeredNanos = nowNanos;
    }

    /** Returns whether no server has answered since a time. */
    boolean isSilentSince(long nanos) {
        return !answered || answeredNanos - nanos < 0;
    }

    /**
     * Draws the conclusion from what was recorded.
     *
     * @param readyServers number of servers of the service that are ready by their reports
     * @param known returns what is known of a server, or null
     * @return whether the conclusion differs from the one before
     */
    boolean update(int readyServers, Function<ServerId, KnownServer> known, long nowNanos) {
        failures.values().removeIf(failure -> nowNanos - failure.lastNanos() >= FAILURE_MEMORY_NANOS);
        Reach before = reach;
        reach = next(readyServers, known, nowNanos);
        return !reach.equals(before);
    }

    private Reach next(int readyServers, Function<ServerId, KnownServer> known, long nowNanos) {
        if (readyServers > 0 && failures.size() >= Math.min(FAILED_SERVERS, readyServers) && isAnyAlive(known)) {
            return isSilentSince(firstFailureNanos()) ? new Reach.CutOff() : new Reach.OldConnectionsOnly();
        }
        return switch (reach) {
            case Reach.Open open -> open;
            case Reach.OldConnectionsOnly oldOnly -> failures.isEmpty() ? new Reach.Open() : oldOnly;
            case Reach.CutOff cutOff -> failures.isEmpty() ? new Reach.Returning(nowNanos) : cutOff;
            case Reach.Returning returning ->
                nowNanos - returning.sinceNanos() >= RETURN_NANOS ? new Reach.Open() : returning;
        };
    }

    /** Returns whether control daemons have heard from a server after a connection to it failed here. */
    private boolean isAnyAlive(Function<ServerId, KnownServer> known) {
        return failures.entrySet().stream().anyMatch(failure -> {
            KnownServer server = known.apply(failure.getKey());
            return server != null
                    && server.ready()
                    && server.lastReportNanos() - failure.getValue().firstNanos() > 0;
        });
    }

    private long firstFailureNanos() {
        return failures.values().stream()
                .mapToLong(Failures::firstNanos)
                .reduce((first, second) -> first - second < 0 ? first : second)
                .orElseThrow();
    }
}
