package org.plantainwharf.record;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallCompletion;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallState;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.error.ErrorKind;
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
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.StateRecord.WorkState;
import org.plantainwharf.sheet.Rank;

/**
 * Runs the attempts at accepted work that this host owns, stores their answers, and answers queries about accepted work
 * of any host. Returns an attempt that this host cannot finish, so that it is reassigned. Runs on the control thread.
 */
public final class WorkController implements Controller {
    /** Deadline of one attempt if no sheet in force defines its rank. */
    private static final Duration DEFAULT_ATTEMPT_DEADLINE = Duration.ofMinutes(10);

    private WorkController() {}

    /** Returns the controller. */
    public static WorkController create() {
        return new WorkController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent replication -> handleReplication(replication, board, nowNanos, effects);
            case AttemptEvent attempt -> handleAttempt(attempt, board, nowNanos, effects);
            case CallEvent call -> handleCall(call, board, effects);
            case TimerEvent timer -> returnWorkWhileDraining(board, effects);
            case PeerEvent peer -> handlePeer(peer, board, nowNanos, effects);
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

    private static void handleReplication(ReplicationEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent.EntryApplied applied -> {
                if (applied.command() instanceof Command.AssignWork assign
                        && applied.result() instanceof CommandResult.Done
                        && assign.owner().equals(board.membership().self())
                        && assign.ownerIncarnation() == board.membership().incarnation()) {
                    board.records()
                            .state(applied.group())
                            .work(assign.request())
                            .ifPresent(work -> startAttempt(applied.group(), work, board, nowNanos, effects));
                }
            }
            case ReplicationEvent.QueryAnswered answered ->
                board.records()
                        .removeQuery(answered.queryId())
                        .ifPresent(ask -> answerQuery(ask, answered.result(), effects));
            case ReplicationEvent.QueryFailed failed ->
                board.records()
                        .removeQuery(failed.queryId())
                        .ifPresent(ask -> effects.add(
                                new CallEffect.FailCall(ask.queryRequest(), Failure.of(ErrorKind.NO_QUORUM))));
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.ProposalDecided ignored -> {}
            case ReplicationEvent.ProposalFailed ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.StateReplaced ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    /** Starts and acknowledges work that a leader assigns. A host without a copy of the group learns of it only here. */
    private static void handlePeer(PeerEvent event, Board board, long nowNanos, Effects effects) {
        if (event instanceof PeerEvent.PeerMessageReceived received
                && received.message() instanceof PeerMessage.WorkAssigned assigned
                && assigned.work().state() instanceof WorkState.Assigned state
                && state.owner().equals(board.membership().self())
                && state.ownerIncarnation() == board.membership().incarnation()) {
            effects.add(new PeerEffect.SendToPeer(
                    received.peer(),
                    new PeerMessage.WorkAcknowledged(
                            assigned.group(), assigned.work().request(), state.attempt())));
            startAttempt(assigned.group(), assigned.work(), board, nowNanos, effects);
        }
    }

    private static void startAttempt(int group, StateRecord.Work work, Board board, long nowNanos, Effects effects) {
        if (!(work.state() instanceof WorkState.Assigned assigned)) {
            return;
        }
        RequestId attemptRequest = RequestId.of(work.request() + "." + assigned.attempt());
        if (!board.records().markAttemptStarted(attemptRequest)) {
            return;
        }
        long deadlineMillis = board.configuration()
                .inForce()
                .map(sheet -> sheet.ranks().get(work.rank()))
                .map(Rank::deadlineMillis)
                .orElse(DEFAULT_ATTEMPT_DEADLINE.toMillis());
        effects.post(new CallEvent.CallArrived(new Call(
                attemptRequest,
                work.account(),
                work.rank(),
                work.model(),
                work.content(),
                Digests.fingerprint(work.account(), work.content()),
                new Origin.AcceptedWork(group, assigned.attempt()),
                nowNanos,
                nowNanos + Duration.ofMillis(deadlineMillis).toNanos())));
    }

    private static void answerQuery(CallEvent.WorkAsked ask, QueryResult result, Effects effects) {
        switch (result) {
            case QueryResult.NotFound none ->
                effects.add(
                        new CallEffect.FailCall(ask.queryRequest(), Failure.of(ErrorKind.WORK_NOT_FOUND, ask.work())));
            case QueryResult.WorkPending pending ->
                effects.add(
                        ask.includeAnswer()
                                ? new CallEffect.FailCall(
                                        ask.queryRequest(), Failure.of(ErrorKind.WORK_NOT_FINISHED, ask.work()))
                                : new CallEffect.ReportPending(ask.queryRequest(), ask.work(), pending.attempt()));
            case QueryResult.WorkFinished finished -> {
                if (!Digests.sha256(finished.answer().bytes()).equals(finished.answerDigest())) {
                    effects.add(new CallEffect.FailCall(ask.queryRequest(), Failure.of(ErrorKind.ANSWER_TRUNCATED)));
                } else if (ask.includeAnswer()) {
                    effects.add(
                            new CallEffect.AnswerCall(ask.queryRequest(), finished.httpStatus(), finished.answer()));
                } else {
                    effects.add(new CallEffect.ReportFinished(
                            ask.queryRequest(),
                            ask.work(),
                            finished.httpStatus(),
                            finished.answer().length(),
                            finished.answerDigest()));
                }
            }
        }
    }

    private static void handleAttempt(AttemptEvent event, Board board, long nowNanos, Effects effects) {
        if (!(event instanceof AttemptEvent.AttemptCompleted completed)) {
            return;
        }
        Optional<CallEntry> live = board.calls().call(event.attempt().request());
        if (live.isEmpty()
                || !live.get().isCurrent(event.attempt())
                || !(live.get().call().origin() instanceof Origin.AcceptedWork origin)) {
            return;
        }
        board.calls().advance(live.get(), new CallState.Completing(nowNanos));
        Content answer = completed.bufferedAnswer().getOrElse(() -> Content.of("text/plain", new byte[0]));
        complete(live.get().call(), origin, completed.httpStatus(), answer, board, effects);
    }

    private static void complete(
            Call call, Origin.AcceptedWork origin, int httpStatus, Content answer, Board board, Effects effects) {
        Command command = new Command.CompleteWork(
                acceptedRequestOf(call),
                origin.attempt(),
                httpStatus,
                answer,
                Digests.sha256(answer.bytes()),
                board.wallClockMillis());
        Proposals.propose(
                board,
                effects,
                origin.group(),
                command,
                new PendingProposal.Completion(call.id(), origin.group(), command));
    }

    /** Returns the id of the accepted request, which is the id of an attempt's call without the attempt number. */
    private static RequestId acceptedRequestOf(Call call) {
        String value = call.id().value();
        return RequestId.of(value.substring(0, value.lastIndexOf('.')));
    }

    private static void handleCall(CallEvent event, Board board, Effects effects) {
        switch (event) {
            case CallEvent.WorkAsked ask -> {
                String queryId = "work/" + ask.queryRequest();
                board.records().addQuery(queryId, ask);
                int group = RecordGroups.groupOf(
                        ask.account(), ask.work(), board.settings().recordGroups());
                effects.post(new ReplicationEvent.QueryRequested(
                        queryId, group, new Query.WorkState(ask.account(), ask.work())));
            }
            case CallEvent.CallRefused refused -> {
                if (refused.call().origin() instanceof Origin.AcceptedWork origin) {
                    attemptRefused(refused.call(), origin, refused.failure(), board, effects);
                }
            }
            case CallEvent.CallArrived ignored -> {}
            case CallEvent.CallerLeft ignored -> {}
            case CallEvent.CallFinished ignored -> {}
        }
    }

    private static void attemptRefused(
            Call call, Origin.AcceptedWork origin, Failure failure, Board board, Effects effects) {
        if (failure.kind().retryable()) {
            Command command = new Command.ReturnWork(acceptedRequestOf(call), origin.attempt());
            Proposals.propose(
                    board, effects, origin.group(), command, new PendingProposal.Background(origin.group(), command));
        } else {
            // The failure is not retryable on any host, so it becomes the answer.
            Content answer = Content.of("text/plain", failure.message().getBytes(StandardCharsets.UTF_8));
            complete(call, origin, failure.kind().httpStatus(), answer, board, effects);
        }
    }

    /** Cancels and returns this host's attempts while it refuses calls for a graceful stop, so that others run them. */
    private static void returnWorkWhileDraining(Board board, Effects effects) {
        if (!board.drain().refusesCalls()) {
            return;
        }
        List<CallEntry> owned = new ArrayList<>();
        for (CallEntry entry : board.calls().calls()) {
            if (entry.call().origin() instanceof Origin.AcceptedWork
                    && !(entry.state() instanceof CallState.Completing)) {
                owned.add(entry);
            }
        }
        for (CallEntry entry : owned) {
            if (entry.state() instanceof CallState.Running running) {
                effects.add(new AttemptEffect.CancelAttempt(running.attempt()));
            }
            CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.DRAINING));
        }
    }
}
