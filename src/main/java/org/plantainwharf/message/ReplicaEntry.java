package org.plantainwharf.message;

import org.plantainwharf.replicated.Command;

/**
 * One entry of a replicated log. Immutable.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that appended it
 * @param command the change
 */
public record ReplicaEntry(long index, long term, Command command) {
    /** Returns an entry. */
    public static ReplicaEntry of(long index, long term, Command command) {
        return new ReplicaEntry(index, term, command);
    }
}
