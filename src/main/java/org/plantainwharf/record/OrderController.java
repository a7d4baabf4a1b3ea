package org.plantainwharf.record;

import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Option;
import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallCompletion;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.call.Content;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
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
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;

/**
 * Runs orders at most once. An order is sent only after its intent is committed for this request. The outcome is proposed
 * before the caller gets the answer, and the caller gets the answer when the outcome is committed or the proposal fails.
 * If the outcome is unknown, the caller gets an error that says so. Runs on the control thread.
 */
public final class OrderController implements Controller {
    private static final Duration IN_PROGRESS_RETRY_AFTER = Duration.ofSeconds(1);

    private OrderController() {}

    /** Returns the controller. */
    public static OrderController create() {
        return new OrderController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent replication -> handleReplication(replication, board, nowNanos, effects);
            case AttemptEvent attempt -> handleAttempt(attempt, board, nowNanos, effects);
            case CallEvent call -> handleCall(call, board, effects);
            case PeerEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
            case TimerEvent timer -> retryProposals(board, effects);
        }
    }

    private static void handleReplication(ReplicationEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent.ProposalDecided decided -> {
                Optional<PendingProposal> pending = board.records().removePending(decided.proposalId());
                pending.ifPresent(purpose -> proposalDecided(purpose, decided, board, nowNanos, effects));
            }
            case ReplicationEvent.ProposalFailed failed -> {
                Optional<PendingProposal> pending = board.records().removePending(failed.proposalId());
                pending.ifPresent(purpose -> proposalFailed(purpose, board, nowNanos, effects));
            }
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.EntryApplied ignored -> {}
            case ReplicationEvent.StateReplaced ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    private static void proposalDecided(
            PendingProposal purpose,
            ReplicationEvent.ProposalDecided decided,
            Board board,
            long nowNanos,
            Effects effects) {
        switch (purpose) {
            case PendingProposal.Intent intent ->
                intentDecided(intent.request(), decided.result(), board, nowNanos, effects);
            case PendingProposal.Acceptance acceptance ->
                board.calls().call(acceptance.request()).ifPresent(entry -> {
                    effects.add(new CallEffect.AcceptCall(acceptance.request()));
                    CallCompletion.finish(board, effects, entry, nowNanos);
                });
            case PendingProposal.Outcome outcome -> answerCaller(outcome, board, nowNanos, effects);
            case PendingProposal.Completion completion ->
                board.calls()
                        .call(completion.request())
                        .ifPresent(entry -> CallCompletion.finish(board, effects, entry, nowNanos));
            case PendingProposal.Background notice -> {}
            case PendingProposal.Assignment assignment ->
                board.records().pendingAssignments().remove(assignment.work());
        }
    }

    private static void proposalFailed(PendingProposal purpose, Board board, long nowNanos, Effects effects) {
        switch (purpose) {
            case PendingProposal.Intent intent ->
                board.calls()
                        .call(intent.request())
                        .ifPresent(entry ->
                                CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.NO_QUORUM_NOT_RUN)));
            case PendingProposal.Acceptance acceptance ->
                board.calls()
                        .call(acceptance.request())
                        .ifPresent(
                                entry -> CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.NO_QUORUM)));
            case PendingProposal.Outcome outcome -> {
                // The order ran, so the caller gets its answer now. A resend gets it only once the outcome is
                // committed.
                answerCaller(outcome, board, nowNanos, effects);
                board.records().addRetry(new PendingProposal.Background(outcome.group(), outcome.command()));
            }
            case PendingProposal.Retryable repeatable -> board.records().addRetry(repeatable);
            case PendingProposal.Assignment assignment ->
                board.records().pendingAssignments().remove(assignment.work());
        }
    }

    private static void retryProposals(Board board, Effects effects) {
        for (PendingProposal.Retryable proposal : board.records().takeRetries()) {
            Proposals.propose(board, effects, proposal.group(), proposal.command(), proposal);
        }
    }

    private static void answerCaller(PendingProposal.Outcome outcome, Board board, long nowNanos, Effects effects) {
        board.records().removeIntent(outcome.request());
        board.calls().call(outcome.request()).ifPresent(entry -> {
            effects.add(new CallEffect.AnswerCall(outcome.request(), outcome.httpStatus(), outcome.answer()));
            CallCompletion.finish(board, effects, entry, nowNanos);
        });
    }

    private static void intentDecided(
            RequestId request, CommandResult result, Board board, long nowNanos, Effects effects) {
        Optional<CallEntry> live = board.calls().call(request);
        if (live.isEmpty()) {
            // The call ended while its intent was pending, and handleCall has proposed the release.
            return;
        }
        CallEntry entry = live.get();
        switch (result) {
            case CommandResult.IntentGranted granted -> {
                if (nowNanos - entry.call().deadlineNanos() >= 0) {
                    CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.QUEUE_TIMEOUT));
                } else {
                    board.calls().advance(entry, new CallState.Ready(nowNanos));
                }
            }
            case CommandResult.IntentFinished finished -> {
                board.records().removeIntent(request);
                effects.count("orders.answered_from_record");
                effects.add(new CallEffect.AnswerCall(request, finished.httpStatus(), finished.answer()));
                CallCompletion.finish(board, effects, entry, nowNanos);
            }
            case CommandResult.IntentRunning running ->
                refuse(
                        entry,
                        Failure.of(ErrorKind.ORDER_IN_PROGRESS).withRetryAfter(IN_PROGRESS_RETRY_AFTER),
                        board,
                        effects);
            case CommandResult.DocumentHeld other -> refuseUnexpected(entry, board, effects);
            case CommandResult.DocumentContent other -> refuseUnexpected(entry, board, effects);
            case CommandResult.UsageRecorded other -> refuseUnexpected(entry, board, effects);
            case CommandResult.RolloutHeld other -> refuseUnexpected(entry, board, effects);
            case CommandResult.RolloutConflict other -> refuseUnexpected(entry, board, effects);
            case CommandResult.NoRollout other -> refuseUnexpected(entry, board, effects);
            case CommandResult.IntentLost lost -> refuse(entry, Failure.of(ErrorKind.OUTCOME_UNKNOWN), board, effects);
            case CommandResult.IntentReused reused ->
                refuse(entry, Failure.of(ErrorKind.IDEMPOTENCY_KEY_REUSED), board, effects);
            case CommandResult.IntentExpired expired ->
                refuse(entry, Failure.of(ErrorKind.IDEMPOTENCY_KEY_EXPIRED), board, effects);
            case CommandResult.Ignored ignored ->
                refuse(entry, Failure.of(ErrorKind.NO_QUORUM_NOT_RUN), board, effects);
            case CommandResult.Done done -> refuseUnexpected(entry, board, effects);
            case CommandResult.SheetAccepted other -> refuseUnexpected(entry, board, effects);
            case CommandResult.SheetConflict other -> refuseUnexpected(entry, board, effects);
            case CommandResult.SheetStale other -> refuseUnexpected(entry, board, effects);
            case CommandResult.FencingNumber other -> refuseUnexpected(entry, board, effects);
        }
    }

    private static void refuseUnexpected(CallEntry entry, Board board, Effects effects) {
        refuse(entry, Failure.of(ErrorKind.INTERNAL_ERROR).withExecutionStatus(ExecutionStatus.NO), board, effects);
    }

    /** Fails a call whose request holds no reservation, so that there is none to release. */
    private static void refuse(CallEntry entry, Failure failure, Board board, Effects effects) {
        board.records().removeIntent(entry.call().id());
        CallCompletion.fail(board, effects, entry, failure);
    }

    private static void handleAttempt(AttemptEvent event, Board board, long nowNanos, Effects effects) {
        Optional<CallEntry> live = board.calls().call(event.attempt().request());
        if (live.isEmpty()
                || !live.get().isCurrent(event.attempt())
                || !(live.get().call().kind() instanceof CallKind.Order)) {
            return;
        }
        CallEntry entry = live.get();
        switch (event) {
            case AttemptEvent.AttemptCompleted completed ->
                attemptCompleted(entry, completed, board, nowNanos, effects);
            case AttemptEvent.AttemptFailed failed -> {
                if (failed.problem().executionStatus() != ExecutionStatus.NO) {
                    CallCompletion.fail(
                            board,
                            effects,
                            entry,
                            Failure.of(ErrorKind.OUTCOME_UNKNOWN)
                                    .withExecutionStatus(failed.problem().executionStatus()));
                }
            }
            case AttemptEvent.AttemptSent ignored -> {}
            case AttemptEvent.FirstTokenReceived ignored -> {}
            case AttemptEvent.TokensReceived ignored -> {}
        }
    }

    private static void attemptCompleted(
            CallEntry entry, AttemptEvent.AttemptCompleted completed, Board board, long nowNanos, Effects effects) {
        Call call = entry.call();
        Option<Content> collected = completed.bufferedAnswer();
        if (!(call.kind() instanceof CallKind.Order order) || collected.isEmpty()) {
            CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.OUTCOME_UNKNOWN));
            return;
        }
        board.calls().advance(entry, new CallState.Completing(nowNanos));
        int group = RecordGroups.groupOf(
                call.account(), order.key(), board.settings().recordGroups());
        Command outcome = new Command.RecordOutcome(
                call.account(),
                order.key(),
                call.id(),
                completed.httpStatus(),
                collected.get(),
                board.wallClockMillis());
        Proposals.propose(
                board,
                effects,
                group,
                outcome,
                new PendingProposal.Outcome(call.id(), completed.httpStatus(), collected.get(), group, outcome));
    }

    /** Releases the intent of a failed call if the order did not run; otherwise records that its outcome is lost. */
    private static void handleCall(CallEvent event, Board board, Effects effects) {
        if (event instanceof CallEvent.CallRefused refused
                && refused.call().kind() instanceof CallKind.Order order
                && board.records().removeIntent(refused.call().id())) {
            Call call = refused.call();
            int group = RecordGroups.groupOf(
                    call.account(), order.key(), board.settings().recordGroups());
            Command command = refused.failure().executionStatus() == ExecutionStatus.NO
                    ? new Command.ReleaseIntent(call.account(), order.key(), call.id(), board.wallClockMillis())
                    : new Command.LoseOutcome(call.account(), order.key(), call.id());
            Proposals.propose(board, effects, group, command, new PendingProposal.Background(group, command));
        }
    }
}
