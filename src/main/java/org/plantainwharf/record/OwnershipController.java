package org.plantainwharf.record;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.StateRecord.OrderState;
import org.plantainwharf.replicated.StateRecord.WorkState;

/**
 * Runs on the leader of a record group, under a valid lease only: assigns accepted work to owners, reassigns work of
 * owners that are lost or draining, and marks orders whose owner is lost. Correctness does not depend on whether an owner
 * has really failed, since attempt numbers and order states decide which results count; failure detection only
 * determines the timing. Runs on the control thread.
 */
public final class OwnershipController implements Controller {
    private static final long SUPERVISION_PERIOD_NANOS = Duration.ofMillis(200).toNanos();

    /** Silence after which accepted work is reassigned. Short, since an unnecessary second run costs only tokens. */
    private static final long WORK_OWNER_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

    /** Silence after which an order counts as lost. Longer, since an unknown outcome costs the caller more. */
    private static final long ORDER_OWNER_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

    private static final long REASSIGNMENT_DELAY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long ASSIGNMENT_RESEND_PERIOD_NANOS =
            Duration.ofSeconds(1).toNanos();
    private static final long EXPIRY_PERIOD_NANOS = Duration.ofHours(1).toNanos();

    private final Map<Integer, Long> leadingSinceNanos = new HashMap<>();
    private final Map<Integer, Long> lastExpiryNanos = new HashMap<>();
    private final Map<Owner, Long> lossProposedNanos = new HashMap<>();
    private final Map<RequestId, Integer> acknowledgedAttempts = new HashMap<>();
    private final Map<RequestId, Long> assignmentSentNanos = new HashMap<>();
    private long nextRunNanos = Long.MIN_VALUE;

    private OwnershipController() {}

    /** Returns the controller. */
    public static OwnershipController create() {
        return new OwnershipController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent.LeadershipChanged changed -> {
                if (changed.leading()) {
                    leadingSinceNanos.put(changed.group(), nowNanos);
                } else {
                    leadingSinceNanos.remove(changed.group());
                }
                lossProposedNanos.clear();
                acknowledgedAttempts.clear();
                assignmentSentNanos.clear();
            }
            case ReplicationEvent.EntryApplied applied -> {
                if (applied.command() instanceof Command.ReturnWork returned
                        && applied.result() instanceof CommandResult.Done) {
                    assignmentSentNanos.remove(returned.request());
                    board.records()
                            .earliestAssignmentNanos()
                            .put(returned.request(), nowNanos + REASSIGNMENT_DELAY_NANOS);
                } else if (applied.command() instanceof Command.CompleteWork completed) {
                    assignmentSentNanos.remove(completed.request());
                    acknowledgedAttempts.remove(completed.request());
                }
            }
            case TimerEvent timer -> {
                if (nextRunNanos == Long.MIN_VALUE || nowNanos - nextRunNanos >= 0) {
                    nextRunNanos = nowNanos + SUPERVISION_PERIOD_NANOS;
                    leadingSinceNanos.forEach((group, since) -> superviseGroup(group, since, board, nowNanos, effects));
                }
            }
            case ReplicationEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case PeerEvent peer -> {
                if (peer instanceof PeerEvent.PeerMessageReceived received
                        && received.message() instanceof PeerMessage.WorkAcknowledged taken) {
                    acknowledgedAttempts.merge(taken.request(), taken.attempt(), Math::max);
                }
            }
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void superviseGroup(int group, long leadingSince, Board board, long nowNanos, Effects effects) {
        if (group == 0 || !board.consensus().group(group).holdsLease(nowNanos)) {
            return;
        }
        RecordState state = board.records().state(group);
        for (StateRecord.Work work : state.unfinishedWork()) {
            superviseWork(group, leadingSince, work, board, nowNanos, effects);
        }
        for (StateRecord.Order order : state.reservedOrders()) {
            superviseOrder(group, leadingSince, order, board, nowNanos, effects);
        }
        long expiry = lastExpiryNanos.getOrDefault(group, leadingSince);
        if (nowNanos - expiry >= EXPIRY_PERIOD_NANOS) {
            lastExpiryNanos.put(group, nowNanos);
            Command command = new Command.Expire(board.wallClockMillis());
            Proposals.propose(board, effects, group, command, new PendingProposal.Background(group, command));
        }
    }

    private void superviseWork(
            int group, long leadingSince, StateRecord.Work work, Board board, long nowNanos, Effects effects) {
        switch (work.state()) {
            case WorkState.Waiting waiting -> assign(group, work, waiting.attempt() + 1, board, nowNanos, effects);
            case WorkState.Assigned assigned -> {
                boolean draining = board.membership()
                        .member(assigned.owner())
                        .map(Member::draining)
                        .orElse(false);
                if (draining
                        || isOwnerLost(
                                assigned.owner(),
                                assigned.ownerIncarnation(),
                                leadingSince,
                                WORK_OWNER_TIMEOUT_NANOS,
                                board,
                                nowNanos)) {
                    effects.count("work.reassigned");
                    assign(group, work, assigned.attempt() + 1, board, nowNanos, effects);
                } else {
                    sendAssignment(group, work, assigned, board, nowNanos, effects);
                }
            }
            case WorkState.Finished finished -> {}
        }
    }

    /** Sends the assignment to the owner, and resends it until the owner acknowledges it. */
    private void sendAssignment(
            int group,
            StateRecord.Work work,
            WorkState.Assigned assigned,
            Board board,
            long nowNanos,
            Effects effects) {
        Long sentNanos = assignmentSentNanos.get(work.request());
        boolean acknowledged = acknowledgedAttempts.getOrDefault(work.request(), 0) >= assigned.attempt();
        boolean sentRecently = sentNanos != null && nowNanos - sentNanos < ASSIGNMENT_RESEND_PERIOD_NANOS;
        if (!acknowledged
                && !sentRecently
                && !assigned.owner().equals(board.membership().self())) {
            assignmentSentNanos.put(work.request(), nowNanos);
            effects.add(new PeerEffect.SendToPeer(assigned.owner(), new PeerMessage.WorkAssigned(group, work)));
        }
    }

    private static void assign(
            int group, StateRecord.Work work, int attempt, Board board, long nowNanos, Effects effects) {
        RecordSection records = board.records();
        Long notBefore = records.earliestAssignmentNanos().get(work.request());
        if (notBefore != null && nowNanos - notBefore < 0) {
            return;
        }
        Optional<Owner> owner = chooseOwner(group, board, nowNanos);
        if (owner.isEmpty() || !records.pendingAssignments().add(work.request())) {
            return;
        }
        records.earliestAssignmentNanos().remove(work.request());
        Command command = new Command.AssignWork(
                work.request(), attempt, owner.get().host(), owner.get().incarnation());
        Proposals.propose(board, effects, group, command, new PendingProposal.Assignment(work.request()));
    }

    private record Owner(HostId host, long incarnation) {}

    /** Returns the reachable host that owns the least unfinished work of the group, empty if there is none. */
    private static Optional<Owner> chooseOwner(int group, Board board, long nowNanos) {
        Map<HostId, Integer> owned = new HashMap<>();
        for (StateRecord.Work work : board.records().state(group).unfinishedWork()) {
            if (work.state() instanceof WorkState.Assigned assigned) {
                owned.merge(assigned.owner(), 1, Integer::sum);
            }
        }
        Map<HostId, Long> candidates = new HashMap<>();
        if (!board.drain().refusesCalls()) {
            candidates.put(board.membership().self(), board.membership().incarnation());
        }
        for (Member member : board.membership().members()) {
            if (member.linked()
                    && !member.draining()
                    && member.configurationVersion() > 0
                    && nowNanos - member.lastHeardNanos() < WORK_OWNER_TIMEOUT_NANOS) {
                candidates.put(member.host(), member.incarnation());
            }
        }
        return candidates.entrySet().stream()
                .min(Comparator.<Map.Entry<HostId, Long>>comparingInt(
                                candidate -> owned.getOrDefault(candidate.getKey(), 0))
                        .thenComparing(candidate -> candidate.getKey().value()))
                .map(candidate -> new Owner(candidate.getKey(), candidate.getValue()));
    }

    private void superviseOrder(
            int group, long leadingSince, StateRecord.Order order, Board board, long nowNanos, Effects effects) {
        if (order.state() instanceof OrderState.Reserved reserved
                && isOwnerLost(
                        reserved.owner(),
                        reserved.ownerIncarnation(),
                        leadingSince,
                        ORDER_OWNER_TIMEOUT_NANOS,
                        board,
                        nowNanos)
                && startLossProposal(new Owner(reserved.owner(), reserved.ownerIncarnation()), nowNanos)) {
            Command command = new Command.MarkOwnerLost(reserved.owner(), reserved.ownerIncarnation());
            Proposals.propose(board, effects, group, command, new PendingProposal.Background(group, command));
        }
    }

    /**
     * Returns whether to propose that an owner is lost, and records the time of the proposal if so. One proposal covers
     * all orders of the owner, so it is not repeated while an earlier one may still be pending.
     */
    private boolean startLossProposal(Owner owner, long nowNanos) {
        Long lastProposedNanos = lossProposedNanos.get(owner);
        if (lastProposedNanos != null && nowNanos - lastProposedNanos < ORDER_OWNER_TIMEOUT_NANOS) {
            return false;
        }
        lossProposedNanos.put(owner, nowNanos);
        return true;
    }

    /**
     * Returns whether an owner restarted or has been silent for the timeout. A new leader may not have heard from the
     * owner yet, so silence counts only after this host has led the group for the timeout as well.
     */
    private static boolean isOwnerLost(
            HostId owner, long incarnation, long leadingSince, long timeoutNanos, Board board, long nowNanos) {
        if (owner.equals(board.membership().self())) {
            return incarnation != board.membership().incarnation();
        }
        Optional<Member> member = board.membership().member(owner);
        if (member.isPresent()
                && member.get().incarnation() != 0
                && member.get().incarnation() != incarnation) {
            return true;
        }
        boolean heardRecently = member.isPresent()
                && member.get().incarnation() != 0
                && nowNanos - member.get().lastHeardNanos() < timeoutNanos;
        return !heardRecently && nowNanos - leadingSince >= timeoutNanos;
    }
}
