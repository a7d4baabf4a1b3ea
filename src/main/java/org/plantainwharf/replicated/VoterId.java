package org.plantainwharf.replicated;

import org.plantainwharf.identity.HostId;

/**
 * Identity of a voter: a disk that comes back empty has another incarnation and so is another voter. Immutable.
 *
 * @param host the host
 * @param diskIncarnation random number stored on the disk, 0 for a host without disk
 */
public record VoterId(HostId host, long diskIncarnation) {
    /** Returns the identity of a voter. */
    public static VoterId of(HostId host, long diskIncarnation) {
        return new VoterId(host, diskIncarnation);
    }

    /** Returns the identity written by {@link #text}. */
    public static VoterId parse(String text) {
        int separator = text.lastIndexOf('#');
        return of(HostId.of(text.substring(0, separator)), Long.parseUnsignedLong(text.substring(separator + 1), 16));
    }

    /** Returns host and incarnation as one text, for the vote on disk. */
    public String text() {
        return host.value() + "#" + Long.toHexString(diskIncarnation);
    }

    /** Says whether this member has a disk; without one it only learns. */
    public boolean hasDisk() {
        return diskIncarnation != 0;
    }
}
