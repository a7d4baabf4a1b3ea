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
 * Servers by destination, running attempts, learned speeds and prefix hints. Written by the controllers of this
 * package. Owned by the control thread.
 */
public final class RoutingSection {
    private final Map<ServerId, ServerTrack> tracks = new LinkedHashMap<>();
    private final Map<Destination, List<ServerTrack>> servers = new HashMap<>();
    private final Map<Destination, LearnedSpeed> means = new HashMap<>();
    private final Map<AttemptId, Placement> placements = new LinkedHashMap<>();
    private final Deque<CallEntry> waiting = new ArrayDeque<>();
    private final PrefixHints hints = PrefixHints.create();

    private long synchronisedNanos = Long.MIN_VALUE;

    private RoutingSection() {}

    /** Returns an empty section. */
    public static RoutingSection create() {
        return new RoutingSection();
    }

    /** Returns the servers known for a destination, also those that take no new work now. Not to be changed. */
    public List<ServerTrack> servers(Destination destination) {
        return servers.getOrDefault(destination, List.of());
    }

    /** Returns an attempt whose end was not reported yet. */
    public Optional<Placement> placement(AttemptId attempt) {
        return Optional.ofNullable(placements.get(attempt));
    }

    /** Returns all attempts whose end was not reported yet, in order of their start. */
    public Collection<Placement> placements() {
        return placements.values();
    }

    /** Returns the number of calls that found no server and wait for one. */
    public int waitingCalls() {
        return waiting.size();
    }

    /** Says whether a period has passed since this was last true. */
    boolean synchroniseDue(long nowNanos, long periodNanos) {
        boolean due = synchronisedNanos == Long.MIN_VALUE || nowNanos - synchronisedNanos >= periodNanos;
        if (due) {
            synchronisedNanos = nowNanos;
        }
        return due;
    }

    Deque<CallEntry> waiting() {
        return waiting;
    }

    Collection<ServerTrack> tracks() {
        return tracks.values();
    }

    @Nullable
    ServerTrack track(ServerId server) {
        return tracks.get(server);
    }

    PrefixHints hints() {
        return hints;
    }

    LearnedSpeed mean(Destination destination) {
        return means.computeIfAbsent(destination, key -> LearnedSpeed.initial());
    }

    void putTrack(ServerTrack track, Set<Destination> destinations) {
        tracks.put(track.entry().server(), track);
        if (track.destinations().equals(destinations)) {
            return;
        }
        removeFromIndex(track);
        track.setDestinations(destinations);
        for (Destination destination : destinations) {
            servers.computeIfAbsent(destination, key -> new ArrayList<>()).add(track);
        }
    }

    void removeTrack(ServerTrack track) {
        tracks.remove(track.entry().server());
        removeFromIndex(track);
        hints.forget(track.entry().server());
    }

    void putPlacement(Placement placement) {
        placements.put(placement.attempt(), placement);
    }

    @Nullable
    Placement removePlacement(AttemptId attempt) {
        return placements.remove(attempt);
    }

    private void removeFromIndex(ServerTrack track) {
        for (Destination destination : track.destinations()) {
            List<ServerTrack> indexed = servers.get(destination);
            if (indexed != null && indexed.remove(track) && indexed.isEmpty()) {
                servers.remove(destination);
            }
        }
    }
}
