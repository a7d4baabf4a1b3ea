package org.plantainwharf.observation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Servers with observations that were not passed on yet. A later observation of the same server replaces the earlier one.
 * Invariant: what is taken is in no later batch unless it changes again. Owned by the control thread.
 */
final class ObservationOutbox {
    /** An older load is of no use to the receiver. */
    private static final long MAXIMUM_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Map<ServerStart, Long> changedNanos = new HashMap<>();

    private ObservationOutbox() {}

    static ObservationOutbox create() {
        return new ObservationOutbox();
    }

    void add(ServerStart server, long seenNanos) {
        changedNanos.put(server, seenNanos);
    }

    /** Takes the newest observations, at most {@code maximum}. What is left stays for the next period while it is of use. */
    List<ServerObservation> take(int maximum, ObservationSection section, long nowNanos) {
        changedNanos.values().removeIf(seenNanos -> nowNanos - seenNanos >= MAXIMUM_AGE_NANOS);
        List<ServerStart> newest = changedNanos.entrySet().stream()
                .sorted(Comparator.comparingLong(changed -> nowNanos - changed.getValue()))
                .limit(maximum)
                .map(Map.Entry::getKey)
                .toList();
        List<ServerObservation> taken = new ArrayList<>();
        for (ServerStart server : newest) {
            changedNanos.remove(server);
            Optional<SeenServer> seen = section.server(server);
            seen.ifPresent(known -> taken.add(known.toObservation(server, nowNanos)));
        }
        return taken;
    }
}
