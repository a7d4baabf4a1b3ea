package org.plantainwharf.consensus;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * The status of the replicated logs: a section of the board, the state owned by the control thread. Written by the
 * controllers of this package; not thread-safe.
 */
public final class ConsensusSection {
    private final Map<Integer, GroupStatus> groups = new TreeMap<>();

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
}
