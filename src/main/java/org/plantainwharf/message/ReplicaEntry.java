package org.plantainwharf.message;

import org.plantainwharf.replicated.Command;

/**
 * One entry of a replicated log. Immutable.
 *
 * @param index position in the log, starting at 1
 * @param term term of the leader that appended the entry
 * @param command command to apply once the entry is committed
 */
public record ReplicaEntry(long index, long term, Command command) {
    /** Returns an entry. */
    public static ReplicaEntry of(long index, long term, Command command) {
        return new ReplicaEntry(index, term, command);
    }
}
