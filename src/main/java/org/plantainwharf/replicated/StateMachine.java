package org.plantainwharf.replicated;

import java.util.List;

/**
 * State that results from the committed commands of one replicated log. Implementations are deterministic: the same
 * commands in the same order give the same state and results on every host, so they read no clock and use no random
 * numbers. Owned by the control thread.
 */
public interface StateMachine {
    /** Applies a committed command. */
    CommandResult apply(Command command);

    /** Answers a read from the current state. */
    QueryResult answer(Query query);

    /** Returns all records of the state for a snapshot. */
    List<StateRecord> records();

    /** Replaces the state by the records of a snapshot. */
    void restore(List<StateRecord> records);
}
