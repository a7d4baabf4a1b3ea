package org.plantainwharf.rollout;

import org.plantainwharf.event.RolloutEvent;

/** An operator's request that waits for an entry of the control group's log. Immutable. */
sealed interface PendingRolloutRequest {
    /** An order whose service the document of this daemon lacks; the newest document is being read through the log. */
    record ServiceCheck(RolloutEvent.RolloutOrdered ordered) implements PendingRolloutRequest {}

    /** An order that has been proposed. */
    record Order(RolloutEvent.RolloutOrdered ordered) implements PendingRolloutRequest {}

    /** A read of the newest rollout of a service. */
    record Read(RolloutEvent.RolloutRequested requested) implements PendingRolloutRequest {}
}
