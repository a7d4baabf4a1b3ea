package org.plantainwharf.record;

import java.time.Duration;

import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.replicated.Command;

/** Steps that the controllers of this package share. Stateless; used on the control thread. */
final class Proposals {
    /** Without word of a leader for this long, a host counts as cut off from the majority. */
    private static final long LEADER_CONTACT_TIMEOUT_NANOS =
            Duration.ofMillis(2_500).toNanos();

    private Proposals() {}

    /** Proposes a command and remembers what it is for. */
    static void propose(Board board, Effects effects, int group, Command command, PendingProposal purpose) {
        String proposalId = board.records()
                .nextProposalId(
                        board.membership().self().value(), board.membership().incarnation());
        board.records().addPending(proposalId, purpose);
        effects.post(new ReplicationEvent.ProposalRequested(proposalId, group, command));
    }

    /** Says whether a leader of the group was heard recently. */
    static boolean hasRecentLeaderContact(Board board, int group, long nowNanos) {
        GroupStatus status = board.consensus().group(group);
        return status.leader().isPresent()
                && status.lastContactNanos() != Long.MIN_VALUE
                && nowNanos - status.lastContactNanos() < LEADER_CONTACT_TIMEOUT_NANOS;
    }
}
