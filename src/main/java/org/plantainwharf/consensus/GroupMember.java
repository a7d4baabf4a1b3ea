package org.plantainwharf.consensus;

/**
 * One host's part in one replicated log. Pure: a step depends on the state and its arguments only, does no I/O and
 * reads no clock. Used by one thread.
 */
public sealed interface GroupMember permits Replica, Learner {
    /**
     * Takes one input and returns what to do about it.
     *
     * @param nowNanos time on the host's monotonic clock; does not decrease from call to call
     */
    ReplicaOutput step(ReplicaInput input, long nowNanos);

    /** Returns what this member knows of the group. */
    GroupStatus status(long nowNanos);
}
