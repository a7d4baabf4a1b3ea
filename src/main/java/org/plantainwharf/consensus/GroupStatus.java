package org.plantainwharf.consensus;

import java.util.Optional;

import org.plantainwharf.identity.HostId;

/**
 * What this host knows of one replicated log. Immutable.
 *
 * @param leader the leader, if one was heard recently
 * @param leading whether this host leads
 * @param term the current term
 * @param commitIndex last committed index known here
 * @param appliedIndex last index applied here
 * @param leaseUntilNanos until when this host may act as the only leader; meaningless unless leading
 * @param lastContactNanos when a leader was last heard or, on the leader, when a majority last answered
 * @param voting whether this host votes; false on hosts without disk and after a failed sync
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
    /** Returns the status before anything was heard. */
    public static GroupStatus unknown(int group) {
        return new GroupStatus(group, Optional.empty(), false, 0, 0, 0, Long.MIN_VALUE, Long.MIN_VALUE, false);
    }

    /** Says whether this host may act as the only leader at this time. */
    public boolean holdsLease(long nowNanos) {
        return leading && nowNanos - leaseUntilNanos < 0;
    }
}
