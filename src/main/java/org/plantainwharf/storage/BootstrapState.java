package org.plantainwharf.storage;

import org.plantainwharf.consensus.ReplicaSnapshot;

/**
 * Initial content of a first voter's empty disk, written before the host votes. All first voters start with the same
 * content, so it counts as committed from the beginning. Immutable.
 *
 * @param incarnation identity of the disk
 * @param group number of the group that starts with this content
 * @param snapshot initial state and voters of the group
 */
public record BootstrapState(long incarnation, int group, ReplicaSnapshot snapshot) {
    /** Incarnation of every first voter's disk. A disk that is erased later never gets it again. */
    public static final long INCARNATION = 1;
}
