package org.plantainwharf.consensus;

import java.util.Optional;

import org.plantainwharf.identity.HostId;

/**
 * Status of one replicated log as known to this host. Times are in nanoseconds on the host's monotonic clock.
 * Immutable.
 *
 * @param leader the leader, absent if unknown or without recent contact
 * @param leading whether this host leads and has committed an entry of its term
 * @param term the current term
 * @param commitIndex last index known to be committed
 * @param appliedIndex last index applied on this host
 * @param leaseUntilNanos end of the leader lease; meaningless unless leading
 * @param lastContactNanos time of the last contact with a leader; on the leader, send time of the newest heartbeat
 *     round that a majority answered; {@code Long.MIN_VALUE} for none
 * @param voting whether this host votes; false on hosts without a disk and after a failed disk write
 */
public record GroupStatus(
        int group,
        Optional<HostId> leader,
        boolean leading,
        long term,
        long commitIndex,
        long appliedIndex,
        long leaseUntilNanos,
        long lastContactNanos,
        boolean voting) {
    /** Returns the status before any contact with the group. */
    public static GroupStatus unknown(int group) {
        return new GroupStatus(group, Optional.empty(), false, 0, 0, 0, Long.MIN_VALUE, Long.MIN_VALUE, false);
    }

    /** Returns true if this host leads and its lease has not expired, so no other host can act as leader now. */
    public boolean holdsLease(long nowNanos) {
        return leading && nowNanos - leaseUntilNanos < 0;
    }
}
