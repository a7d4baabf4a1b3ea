package org.plantainwharf.replicated;

import org.plantainwharf.identity.HostId;

/**
 * Identity of a member of a replicated log: a host and the incarnation of its disk. A host whose disk was emptied gets
 * a new incarnation and so is another voter. Immutable.
 *
 * @param diskIncarnation random number stored on the disk, 0 for a host without a disk
 */
public record VoterId(HostId host, long diskIncarnation) {
    /** Returns the identity of a voter. */
    public static VoterId of(HostId host, long diskIncarnation) {
        return new VoterId(host, diskIncarnation);
    }

    /**
     * Returns the identity with the given text.
     *
     * @param text text form of an identity, as returned by {@link #text}
     */
    public static VoterId parse(String text) {
        int separator = text.lastIndexOf('#');
        return of(HostId.of(text.substring(0, separator)), Long.parseUnsignedLong(text.substring(separator + 1), 16));
    }

    /** Returns the text form, as stored for the vote on disk: host name, {@code #} and incarnation in hexadecimal. */
    public String text() {
        return host.value() + "#" + Long.toHexString(diskIncarnation);
    }

    /** Returns true if this member has a disk. A member without a disk is a learner and never votes. */
    public boolean hasDisk() {
        return diskIncarnation != 0;
    }
}
