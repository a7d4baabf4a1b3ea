package org.plantainwharf.record;

import java.time.Duration;

import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.replicated.Command;

/** Helper methods for proposals, shared by the controllers of this package. Stateless; used on the control thread. */
final class Proposals {
    /** A host that has not heard from a leader for this long counts as disconnected from the majority. */
    private static final long LEADER_CONTACT_TIMEOUT_NANOS =
            Duration.ofMillis(2_500).toNanos();

    private Proposals() {}

    /** Proposes a command and records the purpose of the proposal. */
    static void propose(Board board, Effects effects, int group, Command command, PendingProposal purpose) {
        String proposalId = board.records()
                .nextProposalId(
                        board.membership().self().value(), board.membership().incarnation());
        board.records().addPending(proposalId, purpose);
        effects.post(new ReplicationEvent.ProposalRequested(proposalId, group, command));
    }

    /** Returns whether the group has a known leader that this host heard from recently. */
    static boolean hasRecentLeaderContact(Board board, int group, long nowNanos) {
        GroupStatus status = board.consensus().group(group);
        return status.leader().isPresent()
                && status.lastContactNanos() != Long.MIN_VALUE
                && nowNanos - status.lastContactNanos() < LEADER_CONTACT_TIMEOUT_NANOS;
    }
}
