package org.plantainwharf.event;

import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;

/** Operator requests on rollouts. {@code ticket} identifies the exchange to answer. Immutable. */
public sealed interface RolloutEvent extends Event {
    /** Returns the id of the exchange to answer, unique within this daemon. */
    long ticket();

    /**
     * A rollout is ordered.
     *
     * @param durationMillis time within which a good version is to be completed, positive
     */
    record RolloutOrdered(long ticket, ServiceName service, ServerVersion target, long durationMillis)
            implements RolloutEvent {}

    /** The newest rollout of a service was requested. */
    record RolloutRequested(long ticket, ServiceName service) implements RolloutEvent {}
}
