package org.plantainwharf.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.ServiceName;

/**
 * Section of the board on rollouts: requests of operators that are not answered yet, and the evidence of all daemons. Owned
 * by the control thread; written by the controllers of this package.
 */
public final class RolloutSection {
    private final Map<String, PendingRolloutRequest> requestsByProposal = new HashMap<>();
    private final Map<ServiceName, Rollout> loggedRollouts = new HashMap<>();

    private RolloutSection() {}

    /** Returns an empty section. */
    public static RolloutSection create() {
        return new RolloutSection();
    }

    /** Keeps a request until its proposal is decided. */
    void await(String proposalId, PendingRolloutRequest request) {
        requestsByProposal.put(proposalId, request);
    }

    /** Removes and returns the request of a proposal; empty if this daemon has not made it or it is already decided. */
    Optional<PendingRolloutRequest> takeRequest(String proposalId) {
        return Optional.ofNullable(requestsByProposal.remove(proposalId));
    }

    /** Returns the newest rollout of a service in the phase that this daemon has logged last; empty if it has logged none. */
    Optional<Rollout> lastLogged(ServiceName service) {
        return Optional.ofNullable(loggedRollouts.get(service));
    }

    void recordLogged(Rollout rollout) {
        loggedRollouts.put(rollout.service(), rollout);
    }
}
