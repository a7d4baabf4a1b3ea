package org.plantainwharf.storage;

import org.plantainwharf.consensus.ReplicaSnapshot;

/**
 * What a first voter's empty disk is given before it votes: the same content on each of them, so that it counts as
 * committed from the beginning. Immutable.
 *
 * @param incarnation identity of the disk
 * @param group the group that begins with this content
 * @param snapshot state and voters at the beginning
 */
public record Founding(long incarnation, int group, ReplicaSnapshot snapshot) {
    /** Incarnation of every first voter's disk. A disk that is emptied later never gets it again. */
    public static final long INCARNATION = 1;
}
