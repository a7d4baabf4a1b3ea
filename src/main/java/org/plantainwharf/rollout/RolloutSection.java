package org.plantainwharf.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.ServiceName;

/**
 * Section of the board, the state owned by the control thread, on rollouts: for an entry daemon, the share of each service
 * that has had a rollout. Written by the controllers of this package, and by the forward controller, which counts what it
 * sends. Owned by the control thread.
 */
public final class RolloutSection {
    private final Map<ServiceName, VersionShare> shares = new HashMap<>();

    private RolloutSection() {}

    /** Returns an empty section. */
    public static RolloutSection create() {
        return new RolloutSection();
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
