package org.plantainwharf.replicated;

import java.util.List;

/**
 * State built from the committed commands of one replicated log. Equal sequences of commands give equal states and
 * results on every host: implementations read no clock and draw no random numbers. Owned by the control thread.
 */
public interface StateMachine {
    /** Applies a committed command. */
    CommandResult apply(Command command);

    /** Answers a read from the present state. */
    QueryResult answer(Query query);

    /** Returns every record of the state, for a snapshot. */
    List<StateRecord> records();

    /** Replaces the state by the records of a snapshot. */
    void restore(List<StateRecord> records);
}
