package org.plantainwharf.rollout;

import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;

/**
 * An operator's order to move a service to a software version, and how far it has come. Immutable.
 *
 * @param number counts the rollouts of the service from 1, so that commands of an earlier one change nothing
 * @param target version to which the service is moved
 * @param durationMillis time within which a good version is to be completed, positive
 * @param begunMillis when the order was given, in milliseconds since the epoch
 */
public record Rollout(
        ServiceName service,
        long number,
        ServerVersion target,
        long durationMillis,
        long begunMillis,
        RolloutPhase phase) {
    /** Returns this rollout in another phase. */
    public Rollout withPhase(RolloutPhase next) {
        return new Rollout(service, number, target, durationMillis, begunMillis, next);
    }

    /** Returns whether no verdict has been given. */
    public boolean inProgress() {
        return !phase.ended();
    }
}
