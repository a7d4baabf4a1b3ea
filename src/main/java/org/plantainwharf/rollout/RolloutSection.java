package org.plantainwharf.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.ServiceName;

/**
 * Section of the board, the state owned by the control thread, on rollouts: for a control daemon, requests of operators that
 * are not answered yet; for an entry daemon, the share of each service that has had a rollout; for both, the phases that were
 * logged. Written by the controllers of this package, and by the forward controller, which counts what it sends. Owned by the
 * control thread.
 */
public final class RolloutSection {
    private final Map<String, PendingRolloutRequest> requestsByProposal = new HashMap<>();
    private final Map<ServiceName, Rollout> loggedRollouts = new HashMap<>();
    private final Map<ServiceName, VersionShare> shares = new HashMap<>();

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

    /** Returns the share of a service; null if the service has had no rollout, or if this is not an entry daemon. */
    public @Nullable VersionShare share(ServiceName service) {
        return shares.get(service);
    }

    Collection<VersionShare> shares() {
        return shares.values();
    }

    void put(VersionShare share) {
        shares.put(share.rollout().service(), share);
    }

    void retainServices(Collection<ServiceName> services) {
        shares.keySet().retainAll(services);
    }
}
