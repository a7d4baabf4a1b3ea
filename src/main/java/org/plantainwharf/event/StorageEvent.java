package org.plantainwharf.event;

/** Results of the storage writer. Immutable. */
public sealed interface StorageEvent extends Event {
    /** Returns the number of the replicated log's group. */
    int group();

    /**
     * All writes of a group up to and including this number are synced to disk.
     *
     * @param writeNumber the number given with the write
     */
    record WriteSynced(int group, long writeNumber) implements StorageEvent {}

    /** A write or sync failed. This host must no longer vote or acknowledge entries in the group. */
    record WriteFailed(int group, String reason) implements StorageEvent {}

    /** A snapshot was written and synced. The log up to its last index may be dropped. */
    record SnapshotSynced(int group, long lastIndex) implements StorageEvent {}
}
