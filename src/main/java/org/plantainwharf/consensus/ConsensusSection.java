package org.plantainwharf.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * The status of the replicated logs and of their copies on this host: a section of the board, the state owned by the control thread. Written by the
 * controllers of this package; not thread-safe.
 */
public final class ConsensusSection {
    private final Map<Integer, GroupStatus> groups = new TreeMap<>();

    private final Map<Integer, LogCopy> copies = new TreeMap<>();

    private ConsensusSection() {}

    /** Returns a section in which the status of every group is unknown. */
    public static ConsensusSection create() {
        return new ConsensusSection();
    }

    /** Returns the status of a group, or {@link GroupStatus#unknown} before the first report. */
    public GroupStatus group(int group) {
        GroupStatus status = groups.get(group);
        return status == null ? GroupStatus.unknown(group) : status;
    }

    /** Returns the status of every group that has reported one, ordered by group. */
    public Collection<GroupStatus> groups() {
        return groups.values();
    }

    /** Replaces the status of a group. Called by the consensus controller only. */
    public void put(GroupStatus status) {
        groups.put(status.group(), status);
    }

    /** Returns how complete this host's copy of a group's log is. */
    public LogCopy copy(int group) {
        @Nullable LogCopy copy = copies.get(group);
        return copy == null ? new LogCopy.Unconfirmed() : copy;
    }

    /** Replaces what is known about the copy of a group's log. Called by the consensus controller only. */
    public void putCopy(int group, LogCopy copy) {
        copies.put(group, copy);
    }
}
