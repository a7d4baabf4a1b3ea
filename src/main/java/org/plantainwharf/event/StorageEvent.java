package org.plantainwharf.event;

/** What the storage writer reports. Immutable. */
public sealed interface StorageEvent extends Event {
    /** The group. */
    int group();

    /**
     * All writes of a group up to this number are synced.
     *
     * @param writeNumber the number given with the write
     */
    record WriteSynced(int group, long writeNumber) implements StorageEvent {}

    /** A write or sync failed: the group must not vote or acknowledge any more. */
    record WriteFailed(int group, String reason) implements StorageEvent {}

    /** A snapshot was written and synced; the log before it may be dropped. */
    record SnapshotSynced(int group, long lastIndex) implements StorageEvent {}
}
