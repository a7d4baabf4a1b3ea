package org.plantainwharf.event;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;

/** Requests to replicated state and their results, posted by controllers for each other. Immutable. */
public sealed interface ReplicationEvent extends Event {
    /** A controller wants a command committed. The proposal id makes a resend recognisable. */
    record ProposalRequested(String proposalId, int group, Command command) implements ReplicationEvent {}

    /** A proposal was committed and applied. */
    record ProposalDecided(String proposalId, CommandResult result) implements ReplicationEvent {}

    /** No answer came in time or no leader is known. The command may still be committed later. */
    record ProposalFailed(String proposalId, ErrorKind reason) implements ReplicationEvent {}

    /** A controller wants a read. */
    record QueryRequested(String queryId, int group, Query query) implements ReplicationEvent {}

    /** A read was answered. */
    record QueryAnswered(String queryId, QueryResult result) implements ReplicationEvent {}

    /** A read was not answered in time. */
    record QueryFailed(String queryId, ErrorKind reason) implements ReplicationEvent {}

    /** A committed entry was applied to this host's copy of the state. */
    record EntryApplied(int group, long index, Command command, CommandResult result) implements ReplicationEvent {}

    /** A snapshot replaced this host's copy of the state. */
    record StateReplaced(int group, long index) implements ReplicationEvent {}

    /** This host became or stopped being the leader of a group. */
    record LeadershipChanged(int group, long term, boolean leading) implements ReplicationEvent {}
}
