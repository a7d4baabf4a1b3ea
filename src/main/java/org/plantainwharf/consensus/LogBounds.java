package org.plantainwharf.consensus;

/**
 * Bounds of one replicated log in memory and on disk. Sizes are estimated bytes of entries. Together they bound the log
 * to the sum of the three sizes and three entries, whatever the size of the entries. Immutable.
 *
 * @param snapshotBytes size of the entries applied since the newest snapshot at which the next one is taken, unless the
 *     snapshot itself is larger: then its size is the threshold, so that a large state is not written for every few
 *     entries
 * @param retainedEntries entries retained before a snapshot, so that a slightly lagging follower needs no snapshot
 * @param retainedBytes size of the entries retained before a snapshot
 * @param unsettledBytes size of the entries that are not committed, or not synced to the leader's own disk, beyond which
 *     the leader refuses proposals
 */
public record LogBounds(long snapshotBytes, int retainedEntries, long retainedBytes, long unsettledBytes) {
    /** Returns bounds with which a log of the largest documents (4 MiB) takes a quarter of a heap of 160 MB. */
    public static LogBounds defaults() {
        return new LogBounds(8L << 20, 64, 4L << 20, 8L << 20);
    }

    /** Returns a copy with another number of retained entries. */
    public LogBounds withRetainedEntries(int entries) {
        return new LogBounds(snapshotBytes, entries, retainedBytes, unsettledBytes);
    }
}
