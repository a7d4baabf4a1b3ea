package org.plantainwharf.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;

/**
 * Newest evidence of each start of each entry daemon on one rollout. Invariants: a message that is repeated or late changes
 * nothing; what a former start of a daemon has seen stays counted once. Owned by the control thread.
 */
final class EvidenceCollection {
    /** Starts of one daemon that are told apart during a rollout; further ones are not counted. */
    static final int MAXIMUM_STARTS = 32;

    /** Twice the daemons of the planned size. */
    static final int MAXIMUM_DAEMONS = 1_024;

    private final Map<HostId, Map<Long, PeerMessage.RolloutEvidence>> newest = new HashMap<>();

    private EvidenceCollection() {}

    static EvidenceCollection create() {
        return new EvidenceCollection();
    }

    /** Adds a report; returns whether it is newer than those of the same start. */
    boolean add(HostId host, long incarnation, PeerMessage.RolloutEvidence evidence) {
        @Nullable Map<Long, PeerMessage.RolloutEvidence> starts = newest.get(host);
        if (starts == null) {
            if (newest.size() >= MAXIMUM_DAEMONS) {
                return false;
            }
            starts = new LinkedHashMap<>();
            newest.put(host, starts);
        }
        PeerMessage.@Nullable RolloutEvidence known = starts.get(incarnation);
        if (known == null ? starts.size() >= MAXIMUM_STARTS : known.sequence() >= evidence.sequence()) {
            return false;
        }
        starts.put(incarnation, evidence);
        return true;
    }

    /** Returns the hosts that have reported. */
    Collection<HostId> hosts() {
        return newest.keySet();
    }

    /** Returns the newest evidence of one start of a daemon; null if it has not reported. */
    PeerMessage.@Nullable RolloutEvidence of(HostId host, long incarnation) {
        return newest.getOrDefault(host, Map.of()).get(incarnation);
    }

    /** Returns the sum of all evidence by route. */
    EvidenceSlice slice() {
        EvidenceSlice slice = EvidenceSlice.create();
        newest.values().forEach(starts -> starts.values().forEach(evidence -> slice.add(evidence.routes())));
        return slice;
    }

    /** Returns the requests of all daemons. */
    long requests() {
        return newest.values().stream()
                .flatMap(starts -> starts.values().stream())
                .mapToLong(PeerMessage.RolloutEvidence::requests)
                .sum();
    }

    /** Returns the attempts of all daemons at the target. */
    long sentToTarget() {
        return newest.values().stream()
                .flatMap(starts -> starts.values().stream())
                .mapToLong(PeerMessage.RolloutEvidence::sentToTarget)
                .sum();
    }
}
