package org.plantainwharf.replicated;

import org.plantainwharf.identity.HostId;

/**
 * Identity of a voter: a disk that comes back empty has another incarnation and so is another voter. Immutable.
 *
 * @param host the host
 * @param diskIncarnation random number stored on the disk
 */
public record VoterId(HostId host, long diskIncarnation) {
    /** Returns the identity of a voter. */
    public static VoterId of(HostId host, long diskIncarnation) {
        return new VoterId(host, diskIncarnation);
    }
}
