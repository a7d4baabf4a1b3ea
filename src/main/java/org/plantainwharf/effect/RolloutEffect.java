package org.plantainwharf.effect;

import org.plantainwharf.error.Failure;
import org.plantainwharf.rollout.Rollout;

/** Answers to operators' requests on rollouts. Immutable. */
public sealed interface RolloutEffect extends Effect {
    /** Acknowledges an order that is committed. */
    record AcknowledgeOrder(long ticket, Rollout rollout) implements RolloutEffect {}

    /** Returns the rollout that was requested. */
    record ReturnRollout(long ticket, Rollout rollout) implements RolloutEffect {}

    /** Refuses a request. */
    record RefuseRollout(long ticket, Failure failure) implements RolloutEffect {}
}
