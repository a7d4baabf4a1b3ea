package org.plantainwharf.consensus;

/**
 * A member of one replicated log on one host. Deterministic: a step depends only on the member's state and the
 * arguments, does no I/O and reads no clock. Not thread-safe.
 */
public sealed interface GroupMember permits Replica, Learner {
    /**
     * Processes one input and returns the messages, writes and committed entries that result from it.
     *
     * @param nowNanos time on the host's monotonic clock; does not decrease from call to call
     */
    ReplicaOutput step(ReplicaInput input, long nowNanos);

    /** Returns the group's status as known to this member. */
    GroupStatus status(long nowNanos);

    /** Returns how complete this member's copy of the log is. */
    LogCopy copy(long nowNanos);
}
