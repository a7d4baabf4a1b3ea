package org.plantainwharf.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateMachine;

/**
 * Runs one group on this host: the protocol member, the state machine, and the proposals that have been appended but
 * not applied. Owned by the consensus controller.
 */
final class GroupDriver {
    /**
     * Time without contact after which an unreachable voter may be replaced. It is at least twice the restart time of a
     * killed process, so that a restart does not lead to a replacement.
     */
    private static final long VOTER_REPLACEMENT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private final int group;
    private final GroupMember member;
    private final @Nullable StateMachine machine;
    private final Map<Long, PendingProposal> pendingProposals = new TreeMap<>();
    private final Map<String, Long> indexByProposalId = new HashMap<>();
    private long restoredIndex;
    private long leadingTerm;
    private boolean stepped;
    private long firstStepNanos;

    /** A proposal that this leader appended; {@code origin} is absent if it came from this host. Immutable. */
    private record PendingProposal(String proposalId, long term, Optional<HostId> origin) {}

    private GroupDriver(int group, GroupMember member, @Nullable StateMachine machine, long restoredIndex) {
        this.group = group;
        this.member = member;
        this.machine = machine;
        this.restoredIndex = restoredIndex;
    }

    /**
     * Returns a driver for a group whose member and state machine are already restored.
     *
     * @param machine state machine with the state after {@code restoredIndex}; null on a learner that only tracks the
     *     leader
     * @param restoredIndex last index of the snapshot restored from disk, 0 for none
     */
    static GroupDriver create(int group, GroupMember member, @Nullable StateMachine machine, long restoredIndex) {
        return new GroupDriver(group, member, machine, restoredIndex);
    }

    /** Posts an event if state was restored from disk. Must be called once, before the first step. */
    void publishRestoredState(Effects effects) {
        if (restoredIndex > 0) {
            effects.post(new ReplicationEvent.StateReplaced(group, restoredIndex));
        }
    }

    /** Passes an input to the member, executes its output and updates the group's status on the board. */
    ReplicaOutput step(ReplicaInput input, Board board, long nowNanos, Effects effects) {
        if (!stepped) {
            stepped = true;
            firstStepNanos = nowNanos;
        }
        ReplicaOutput output = member.step(input, nowNanos);
        execute(output, effects);
        takeSnapshotIfDue(board, nowNanos, effects);
        publishLeadershipChange(publishStatus(board, nowNanos), effects);
        return output;
    }

    /** Appends a proposal if this host leads the group. Returns false if it was refused. */
    boolean propose(
            String proposalId, Command command, Optional<HostId> origin, Board board, long nowNanos, Effects effects) {
        if (updatePendingOrigin(proposalId, origin, board, nowNanos)) {
            return true;
        }
        ReplicaOutput output = member.step(new ReplicaInput.Proposed(command), nowNanos);
        if (output.appendedIndex() > 0) {
            long term = member.status(nowNanos).term();
            pendingProposals.put(output.appendedIndex(), new PendingProposal(proposalId, term, origin));
            indexByProposalId.put(proposalId, output.appendedIndex());
        }
        execute(output, effects);
        takeSnapshotIfDue(board, nowNanos, effects);
        publishStatus(board, nowNanos);
        return output.refusal().isEmpty();
    }

    private GroupStatus publishStatus(Board board, long nowNanos) {
        GroupStatus status = member.status(nowNanos);
        board.consensus().put(status);
        board.consensus().putCopy(group, member.copy(nowNanos));
        return status;
    }

    /** Stops tracking a proposal of this host whose request has ended. The entry may still be applied. */
    void abandon(String proposalId) {
        @Nullable Long index = indexByProposalId.get(proposalId);
        if (index != null
                && pendingProposals.get(index) instanceof PendingProposal proposal
                && proposal.origin().isEmpty()) {
            pendingProposals.remove(index);
            indexByProposalId.remove(proposalId);
        }
    }

    /**
     * Returns true if the proposal is a resend of one that this leader appended in its current term and has not
     * applied. The result then goes to the newest sender.
     */
    private boolean updatePendingOrigin(String proposalId, Optional<HostId> origin, Board board, long nowNanos) {
        @Nullable Long index = indexByProposalId.get(proposalId);
        if (index == null || !(pendingProposals.get(index) instanceof PendingProposal earlier)) {
            return false;
        }
        GroupStatus status = member.status(nowNanos);
        boolean stillLeads = status.term() == earlier.term()
                && status.leader().equals(Optional.of(board.settings().host()));
        if (stillLeads) {
            pendingProposals.put(index, new PendingProposal(proposalId, earlier.term(), origin));
        } else {
            pendingProposals.remove(index);
            indexByProposalId.remove(proposalId);
        }
        return stillLeads;
    }

    /**
     * Answers a read from the state machine if this host leads and holds a valid lease. Such a leader has applied every
     * entry committed in earlier terms.
     */
    Optional<QueryResult> answer(Query query, long nowNanos) {
        return machine != null && member.status(nowNanos).holdsLease(nowNanos)
                ? Optional.of(machine.answer(query))
                : Optional.empty();
    }

    /** Proposes a voter change if a host with a lost disk, or a new host, has synced the log and may become a voter. */
    void repairVoters(LogHosts hosts, Board board, long nowNanos, Effects effects) {
        if (member instanceof Replica replica) {
            Optional<Command.ChangeVoters> voterChange = hosts.bootstrapsByVote()
                    ? VoterRepair.nextDiskReplacement(replica)
                    : VoterRepair.nextVoterChange(replica, host -> unreachable(host, board, nowNanos));
            voterChange.ifPresent(change -> step(new ReplicaInput.Proposed(change), board, nowNanos, effects));
        }
    }

    private boolean unreachable(HostId host, Board board, long nowNanos) {
        return !host.equals(board.membership().self())
                && board.membership()
                        .member(host)
                        .map(known ->
                                !known.linked() && nowNanos - known.lastHeardNanos() >= VOTER_REPLACEMENT_DELAY_NANOS)
                        .orElse(nowNanos - firstStepNanos >= VOTER_REPLACEMENT_DELAY_NANOS);
    }

    private void execute(ReplicaOutput output, Effects effects) {
        output.counts().forEach(effects::count);
        output.writes().forEach(effects::add);
        output.messages()
                .forEach(outgoing -> effects.add(new PeerEffect.SendToPeer(
                        outgoing.host(), new PeerMessage.Replication(group, outgoing.message()))));
        output.installed().ifPresent(snapshot -> restore(snapshot, effects));
        output.committed().forEach(entry -> apply(entry, effects));
    }

    private void restore(ReplicaSnapshot snapshot, Effects effects) {
        if (machine != null) {
            machine.restore(snapshot.records());
        }
        pendingProposals.keySet().removeIf(index -> index <= snapshot.lastIndex());
        indexByProposalId.values().removeIf(index -> index <= snapshot.lastIndex());
        effects.post(new ReplicationEvent.StateReplaced(group, snapshot.lastIndex()));
    }

    private void apply(ReplicaEntry entry, Effects effects) {
        if (machine == null) {
            return;
        }
        CommandResult result = machine.apply(entry.command());
        effects.post(new ReplicationEvent.EntryApplied(group, entry.index(), entry.command(), result));
        @Nullable PendingProposal proposal = pendingProposals.remove(entry.index());
        if (proposal == null) {
            return;
        }
        indexByProposalId.remove(proposal.proposalId());
        if (proposal.term() != entry.term()) {
            // An entry of another leader overwrote the proposal; the proposer resends it.
            effects.count("consensus.proposals_overwritten");
        } else if (proposal.origin().isPresent()) {
            effects.add(new PeerEffect.SendToPeer(
                    proposal.origin().get(), new PeerMessage.ProposeResponse(proposal.proposalId(), result)));
        } else {
            effects.post(new ReplicationEvent.ProposalDecided(proposal.proposalId(), result));
        }
    }

    private void takeSnapshotIfDue(Board board, long nowNanos, Effects effects) {
        if (machine != null
                && member instanceof Replica replica
                && (replica.snapshotDueBySize()
                        || replica.status(nowNanos).appliedIndex() - replica.snapshotIndex()
                                >= board.settings().bounds().snapshotEntries())) {
            effects.count("consensus.snapshots_taken");
            execute(member.step(new ReplicaInput.SnapshotTaken(machine.records()), nowNanos), effects);
        }
    }

    private void publishLeadershipChange(GroupStatus status, Effects effects) {
        long term = status.leading() ? status.term() : 0;
        if (term == leadingTerm) {
            return;
        }
        if (leadingTerm != 0) {
            effects.post(new ReplicationEvent.LeadershipChanged(group, leadingTerm, false));
        }
        if (term != 0) {
            effects.post(new ReplicationEvent.LeadershipChanged(group, term, true));
        } else {
            // The next leader decides these proposals; their proposers resend them.
            pendingProposals.clear();
            indexByProposalId.clear();
        }
        leadingTerm = term;
    }
}
