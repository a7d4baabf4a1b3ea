package org.plantainwharf.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.admission.Destination;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.ServerId;

/**
 * Servers by destination, attempts in flight, latency estimates and prefix cache hints. Only the controllers of this
 * package modify it. Owned by the control thread.
 */
public final class RoutingSection {
    private final Map<ServerId, ServerRoutingState> serverStates = new LinkedHashMap<>();
    private final Map<Destination, List<ServerRoutingState>> servers = new HashMap<>();
    private final Map<Destination, LatencyEstimate> meanEstimates = new HashMap<>();
    private final Map<AttemptId, InFlightAttempt> inFlightAttempts = new LinkedHashMap<>();
    private final Deque<CallEntry> waiting = new ArrayDeque<>();
    private final PrefixHints hints = PrefixHints.create();

    private long synchronisedNanos = Long.MIN_VALUE;

    private RoutingSection() {}

    /** Returns an empty section. */
    public static RoutingSection create() {
        return new RoutingSection();
    }

    /**
     * Returns the known servers of a destination, including those that accept no new work. The list must not be
     * modified.
     */
    public List<ServerRoutingState> servers(Destination destination) {
        return servers.getOrDefault(destination, List.of());
    }

    /** Returns an attempt whose end has not been reported, or empty if there is none. */
    public Optional<InFlightAttempt> inFlightAttempt(AttemptId attempt) {
        return Optional.ofNullable(inFlightAttempts.get(attempt));
    }

    /** Returns all attempts whose end has not been reported, in order of their start. */
    public Collection<InFlightAttempt> inFlightAttempts() {
        return inFlightAttempts.values();
    }

    /** Returns the number of calls that wait until a server can be chosen. */
    public int waitingCalls() {
        return waiting.size();
    }

    /** Returns true on the first call and then whenever a period has passed since it last returned true. */
    boolean startSynchronisationIfDue(long nowNanos, long periodNanos) {
        boolean due = synchronisedNanos == Long.MIN_VALUE || nowNanos - synchronisedNanos >= periodNanos;
        if (due) {
            synchronisedNanos = nowNanos;
        }
        return due;
    }

    Deque<CallEntry> waiting() {
        return waiting;
    }

    Collection<ServerRoutingState> serverStates() {
        return serverStates.values();
    }

    @Nullable
    ServerRoutingState serverState(ServerId server) {
        return serverStates.get(server);
    }

    PrefixHints hints() {
        return hints;
    }

    LatencyEstimate meanEstimate(Destination destination) {
        return meanEstimates.computeIfAbsent(destination, key -> LatencyEstimate.initial());
    }

    void putServerState(ServerRoutingState serverState, Set<Destination> destinations) {
        serverStates.put(serverState.entry().server(), serverState);
        if (serverState.destinations().equals(destinations)) {
            return;
        }
        removeFromIndex(serverState);
        serverState.setDestinations(destinations);
        for (Destination destination : destinations) {
            servers.computeIfAbsent(destination, key -> new ArrayList<>()).add(serverState);
        }
    }

    void removeServerState(ServerRoutingState serverState) {
        serverStates.remove(serverState.entry().server());
        removeFromIndex(serverState);
        hints.removeServer(serverState.entry().server());
    }

    void putInFlightAttempt(InFlightAttempt attempt) {
        inFlightAttempts.put(attempt.attempt(), attempt);
    }

    @Nullable
    InFlightAttempt removeInFlightAttempt(AttemptId attempt) {
        return inFlightAttempts.remove(attempt);
    }

    private void removeFromIndex(ServerRoutingState serverState) {
        for (Destination destination : serverState.destinations()) {
            List<ServerRoutingState> indexed = servers.get(destination);
            if (indexed != null && indexed.remove(serverState) && indexed.isEmpty()) {
                servers.remove(destination);
            }
        }
    }
}
