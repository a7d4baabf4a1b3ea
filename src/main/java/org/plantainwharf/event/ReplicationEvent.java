package org.plantainwharf.event;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;

/** Proposals and queries to replicated state and their results, posted by controllers for each other. Immutable. */
public sealed interface ReplicationEvent extends Event {
    /**
     * A controller requests that a command be committed.
     *
     * @param proposalId identifies the proposal, so that a resend is recognised
     */
    record ProposalRequested(String proposalId, int group, Command command) implements ReplicationEvent {}

    /** A proposed command was committed and applied with this result. */
    record ProposalDecided(String proposalId, CommandResult result) implements ReplicationEvent {}

    /** A proposal timed out or no leader is known. The command may still be committed later. */
    record ProposalFailed(String proposalId, ErrorKind reason) implements ReplicationEvent {}

    /** A controller requests a read of a group's state. */
    record QueryRequested(String queryId, int group, Query query) implements ReplicationEvent {}

    /** A query was answered. */
    record QueryAnswered(String queryId, QueryResult result) implements ReplicationEvent {}

    /** A query was not answered in time. */
    record QueryFailed(String queryId, ErrorKind reason) implements ReplicationEvent {}

    /** A committed entry was applied to this host's copy of the group's state. */
    record EntryApplied(int group, long index, Command command, CommandResult result) implements ReplicationEvent {}

    /** A snapshot replaced this host's copy of the group's state. */
    record StateReplaced(int group, long index) implements ReplicationEvent {}

    /** This host became leader of a group or lost that role. */
    record LeadershipChanged(int group, long term, boolean leading) implements ReplicationEvent {}
}
