package org.plantainwharf.observation;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.HostId;

/**
 * Section of the board, the state owned by the control thread, on what this daemon and others have seen of backend servers.
 * Invariants: an observation that is not newer than the current one of the same start changes nothing; nothing is older than
 * {@link #MAXIMUM_AGE_NANOS}. Owned by the control thread; written by the observation controller.
 */
public final class ObservationSection {
    /** Age at which a speed is forgotten. The load of a server is forgotten earlier by those that use it. */
    public static final long MAXIMUM_AGE_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Servers of three regions and their restarts within the maximum age. */
    private static final int MAXIMUM_SERVERS = 8_192;

    private final Map<ServerStart, SeenServer> servers = new LinkedHashMap<>();

    private List<HostId> subscribers = List.of();
    private List<HostId> controls = List.of();

    private ObservationSection() {}

    /** Returns an empty section. */
    public static ObservationSection create() {
        return new ObservationSection();
    }

    /** Returns the newest observation of one start of a server; empty if there is none. */
    public Optional<SeenServer> server(ServerStart server) {
        return Optional.ofNullable(servers.get(server));
    }

    /** Returns the entry daemons that listen to this control daemon; empty on an entry daemon. */
    public List<HostId> subscribers() {
        return subscribers;
    }

    /** Returns the control daemons to which this daemon sends what it learns. */
    public List<HostId> controls() {
        return controls;
    }

    /** Replaces the daemons with which this one shares what it learns. */
    void setPeers(List<HostId> newSubscribers, List<HostId> newControls) {
        subscribers = List.copyOf(newSubscribers);
        controls = List.copyOf(newControls);
    }

    /** Returns the number of starts of servers that were seen. */
    public int size() {
        return servers.size();
    }

    /**
     * Merges an observation. Returns whether it was newer than the current one.
     *
     * @param seenNanos when the server was seen, on this host's monotonic clock
     */
    boolean merge(ServerObservation observation, long seenNanos, long nowNanos) {
        @Nullable SeenServer current = servers.get(observation.server());
        if (nowNanos - seenNanos >= MAXIMUM_AGE_NANOS || current != null && seenNanos - current.seenNanos() <= 0) {
            return false;
        }
        int speedPercent = observation.speedPercent();
        long speedNanos = seenNanos;
        if (speedPercent == 0 && current != null) {
            speedPercent = current.speedPercent();
            speedNanos = current.speedNanos();
        }
        servers.remove(observation.server());
        servers.put(
                observation.server(),
                new SeenServer(
                        observation.running(),
                        observation.waiting(),
                        observation.workTimePercent(),
                        speedPercent,
                        seenNanos,
                        speedNanos));
        if (servers.size() > MAXIMUM_SERVERS) {
            servers.remove(servers.keySet().iterator().next());
        }
        return true;
    }

    /** Returns the newest observations, newest first, at most {@code maximum}. */
    List<ServerObservation> newest(int maximum, long nowNanos) {
        return servers.entrySet().stream()
                .sorted(Comparator.comparingLong(
                        seen -> nowNanos - seen.getValue().seenNanos()))
                .limit(maximum)
                .map(seen -> seen.getValue().toObservation(seen.getKey(), nowNanos))
                .toList();
    }

    /** Removes what is too old. */
    void removeExpired(long nowNanos) {
        servers.values().removeIf(seen -> nowNanos - seen.seenNanos() >= MAXIMUM_AGE_NANOS);
    }
}
