package org.plantainwharf.retry;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.admission.Destination;
import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallCompletion;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
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
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.RequestId;

/**
 * Decides what follows the end of an attempt: the answer, another attempt or a failure. Also ends calls whose caller
 * has disconnected or whose deadline has passed.
 *
 * <p>An order is repeated here only if its attempt certainly did not run; the record package handles every other end of
 * a sent order. The record package also handles the completion of accepted work; its final failure is posted as
 * {@link CallEvent.CallRefused}. Events of an attempt that is not the current one change no state.
 *
 * <p>Stateless; its state is the {@link RetrySection}. Used by the control thread only.
 */
public final class AttemptController implements Controller {
    /**
     * Attempts after which a call other than an order fails. Further attempts rarely succeed and multiply the load that
     * a fault causes.
     */
    private static final int MAXIMUM_ATTEMPTS = 5;

    /** Longest wait for the retry budget; after that the caller is better served elsewhere. */
    private static final long MAXIMUM_BUDGET_WAIT_NANOS = 2_000_000_000;

    private AttemptController() {}

    public static AttemptController create() {
        return new AttemptController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent call -> handleCall(call, board, nowNanos, effects);
            case AttemptEvent attempt -> handleAttempt(attempt, board, nowNanos, effects);
            case TimerEvent timer -> {
                retryAwaitingBudget(board, nowNanos, effects);
                expire(board, nowNanos, effects);
            }
            case PeerEvent peer -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent server -> {}
            case StorageEvent storage -> {}
            case ReplicationEvent replication -> {}
            case OperatorEvent operator -> {}
            case PlatformEvent platform -> {}
        }
    }

    /** Ends a call whose event could not be handled: nothing else would end it before its deadline. */
    @Override
    public void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof CallEvent.CallArrived arrived) {
            CallRecovery.endArrived(arrived.call(), board, effects);
        } else if (event instanceof CallEvent.CallerLeft left) {
            board.calls().call(left.request()).ifPresent(entry -> CallRecovery.end(entry, board, effects));
        } else if (event instanceof AttemptEvent attempt) {
            board.calls()
                    .call(attempt.attempt().request())
                    .filter(entry -> entry.isCurrent(attempt.attempt()))
                    .ifPresent(entry -> CallRecovery.end(entry, board, effects));
        }
    }

    private static void handleCall(CallEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent.CallArrived arrived -> {
                Call call = arrived.call();
                if (board.calls().call(call.id()).isPresent()) {
                    board.retry().deadlines().add(new RetrySection.Deadline(call.deadlineNanos(), call.id()));
                }
            }
            case CallEvent.CallerLeft left ->
                board.calls().call(left.request()).ifPresent(entry -> handleCallerLeft(entry, board, effects));
            case CallEvent.CallRefused refused ->
                board.retry().forget(refused.call().id());
            case CallEvent.CallFinished finished ->
                board.retry().forget(finished.call().id());
            case CallEvent.WorkAsked asked -> {}
        }
    }

    private static void handleCallerLeft(CallEntry entry, Board board, Effects effects) {
        boolean order = entry.call().kind() instanceof CallKind.Order;
        if (entry.call().origin() instanceof Origin.AcceptedWork) {
            return;
        }
        Failure cancelled = Failure.of(ErrorKind.CALLER_CANCELLED);
        switch (entry.state()) {
            case CallState.Arrived arrived ->
                CallCompletion.fail(board, effects, entry, cancelled.withExecutionStatus(ExecutionStatus.NO));
            case CallState.Queued queued ->
                CallCompletion.fail(board, effects, entry, cancelled.withExecutionStatus(ExecutionStatus.NO));
            case CallState.Ready ready -> {
                if (!order) {
                    CallCompletion.fail(
                            board,
                            effects,
                            entry,
                            cancelled.withExecutionStatus(
                                    board.retry().ranSoFar(entry.call().id())));
                }
            }
            case CallState.Running running -> {
                if (!order) {
                    effects.add(new AttemptEffect.CancelAttempt(running.attempt()));
                    CallCompletion.fail(board, effects, entry, cancelled);
                }
            }
            case CallState.Recording recording -> {}
            case CallState.Completing completing -> {}
        }
    }

    private static void handleAttempt(AttemptEvent event, Board board, long nowNanos, Effects effects) {
        CallEntry entry = board.calls().call(event.attempt().request()).orElse(null);
        if (entry == null || !entry.isCurrent(event.attempt())) {
            if (event instanceof AttemptEvent.AttemptCompleted) {
                effects.count("attempts.late_completions");
            }
            return;
        }
        switch (event) {
            case AttemptEvent.AttemptSent sent -> currentProgress(entry, sent.attempt(), board, nowNanos);
            case AttemptEvent.FirstTokenReceived first -> handleFirstToken(entry, first.attempt(), board, nowNanos);
            case AttemptEvent.TokensReceived tokens -> {
                RetrySection.Progress known = currentProgress(entry, tokens.attempt(), board, nowNanos);
                raiseTokens(entry, known, known.tokens() + tokens.tokenCount(), board);
            }
            case AttemptEvent.AttemptCompleted completed -> complete(entry, completed, board, nowNanos, effects);
            case AttemptEvent.AttemptFailed failed -> fail(entry, failed, board, nowNanos, effects);
        }
    }

    /**
     * Returns the progress of the current attempt. The first event of a call's first attempt counts towards the retry
     * budget.
     */
    private static RetrySection.Progress currentProgress(
            CallEntry entry, AttemptId attempt, Board board, long nowNanos) {
        RetrySection section = board.retry();
        RetrySection.Progress known = section.progress().get(entry.call().id());
        if (known != null && known.attempt().equals(attempt)) {
            return known;
        }
        if (attempt.number() == 1) {
            section.budget().countAttempt(nowNanos);
        }
        RetrySection.Progress fresh = new RetrySection.Progress(attempt, 0);
        section.progress().put(entry.call().id(), fresh);
        return fresh;
    }

    /** Raises the token count of an attempt to a total; a total below the current count changes nothing. */
    private static void raiseTokens(CallEntry entry, RetrySection.Progress known, int total, Board board) {
        if (total > known.tokens()) {
            entry.addTokens(total - known.tokens());
            board.retry().progress().put(entry.call().id(), new RetrySection.Progress(known.attempt(), total));
        }
    }

    private static void handleFirstToken(CallEntry entry, AttemptId attempt, Board board, long nowNanos) {
        RetrySection.Progress known = currentProgress(entry, attempt, board, nowNanos);
        switch (entry.call().kind()) {
            case CallKind.Model model -> {
                raiseTokens(entry, known, Math.max(1, known.tokens()), board);
                if (model.stream()) {
                    entry.markAnswerStarted();
                }
            }
            case CallKind.LongWork work -> raiseTokens(entry, known, Math.max(1, known.tokens()), board);
            case CallKind.Service service -> {}
            case CallKind.Order order -> {}
        }
    }

    private static void complete(
            CallEntry entry, AttemptEvent.AttemptCompleted completed, Board board, long nowNanos, Effects effects) {
        currentProgress(entry, completed.attempt(), board, nowNanos);
        if (entry.call().kind() instanceof CallKind.Order || entry.call().origin() instanceof Origin.AcceptedWork) {
            return;
        }
        if (streams(entry.call())) {
            effects.add(new CallEffect.FinishStream(entry.call().id()));
        } else {
            Content answer =
                    completed.bufferedAnswer().getOrElse(() -> Content.of("application/octet-stream", new byte[0]));
            effects.add(new CallEffect.AnswerCall(entry.call().id(), completed.httpStatus(), answer));
        }
        CallCompletion.finish(board, effects, entry, nowNanos);
    }

    private static boolean streams(Call call) {
        return call.kind() instanceof CallKind.Model model && model.stream();
    }

    private static void fail(
            CallEntry entry, AttemptEvent.AttemptFailed failed, Board board, long nowNanos, Effects effects) {
        Call call = entry.call();
        AttemptProblem problem = failed.problem();
        RetrySection.Progress known = currentProgress(entry, failed.attempt(), board, nowNanos);
        raiseTokens(entry, known, failed.tokensReceived(), board);
        effects.count("attempts.failed." + problem.code());
        boolean order = call.kind() instanceof CallKind.Order;
        if (order && problem.executionStatus() != ExecutionStatus.NO) {
            return;
        }
        Failure failure =
                RetryPolicy.failure(problem, call, board.settings().bounds().maximumAnswerBytes());
        AttemptHistory history = board.retry()
                .histories()
                .computeIfAbsent(call.id(), id -> AttemptHistory.create(problem.code(), failure));
        if (entry.state() instanceof CallState.Running running) {
            history.add(running.server(), nowNanos, problem.executionStatus(), problem.code(), failure);
        }
        Failure end = order ? null : finalFailure(entry, problem, history, board, nowNanos);
        if (end != null) {
            effects.count("retries.refused." + end.kind().code());
            CallCompletion.fail(board, effects, entry, end);
            return;
        }
        if (!RetryPolicy.needsBudget(problem) || board.retry().budget().tryRetry(nowNanos)) {
            effects.count("retries." + problem.code());
        } else {
            effects.count("retries.delayed");
            history.awaitBudget(nowNanos);
            board.retry().awaitingBudget().add(call.id());
        }
        board.calls().advance(entry, new CallState.Ready(nowNanos));
    }

    /** Returns the failure that ends a call, or null if another attempt may be made. */
    private static @Nullable Failure finalFailure(
            CallEntry entry, AttemptProblem problem, AttemptHistory history, Board board, long nowNanos) {
        Call call = entry.call();
        if (!RetryPolicy.isRetryable(problem)) {
            return history.failure();
        }
        if (board.quarantine().isQuarantined(call.fingerprint(), board.wallClockMillis())) {
            return Failure.of(ErrorKind.REQUEST_QUARANTINED).withExecutionStatus(history.ran());
        }
        if (nowNanos - call.deadlineNanos() >= 0) {
            return Failure.of(ErrorKind.DEADLINE_EXCEEDED).withExecutionStatus(history.ran());
        }
        return entry.attempts() >= MAXIMUM_ATTEMPTS ? history.failure() : null;
    }

    private static void retryAwaitingBudget(Board board, long nowNanos, Effects effects) {
        RetrySection section = board.retry();
        int count = section.awaitingBudget().size();
        boolean budgetLeft = true;
        for (int index = 0; index < count; index++) {
            RequestId request = section.awaitingBudget().remove();
            CallEntry entry = board.calls().call(request).orElse(null);
            AttemptHistory history = section.histories().get(request);
            if (entry == null || history == null || !history.awaitsBudget()) {
                continue;
            }
            budgetLeft = budgetLeft && section.budget().tryRetry(nowNanos);
            if (budgetLeft) {
                history.stopAwaitingBudget();
                effects.count("retries." + history.reason());
            } else if (mayFailForBudget(entry.call())
                    && nowNanos - history.awaitingSinceNanos() > MAXIMUM_BUDGET_WAIT_NANOS) {
                failForBudget(entry, history, board, effects);
            } else {
                section.awaitingBudget().add(request);
            }
        }
    }

    private static void failForBudget(CallEntry entry, AttemptHistory history, Board board, Effects effects) {
        effects.count("retries.refused." + ErrorKind.RETRY_BUDGET_EXHAUSTED.code());
        CallCompletion.fail(
                board,
                effects,
                entry,
                Failure.of(ErrorKind.RETRY_BUDGET_EXHAUSTED, history.reason()).withExecutionStatus(history.ran()));
    }

    /** Returns whether a call may fail for lack of retry budget; orders and accepted work wait until their deadline. */
    private static boolean mayFailForBudget(Call call) {
        return call.origin() instanceof Origin.Caller && !(call.kind() instanceof CallKind.Order);
    }

    private static void expire(Board board, long nowNanos, Effects effects) {
        RetrySection section = board.retry();
        RetrySection.Deadline first = section.deadlines().peek();
        while (first != null && nowNanos - first.nanos() >= 0) {
            section.deadlines().remove();
            CallEntry entry = board.calls().call(first.request()).orElse(null);
            if (entry != null && mayExpire(entry)) {
                expire(entry, board, effects);
            }
            first = section.deadlines().peek();
        }
    }

    /**
     * Returns whether a call may end at its deadline. A sent order ends only with its outcome; an order that waits for
     * a server has not run.
     */
    private static boolean mayExpire(CallEntry entry) {
        return !(entry.call().kind() instanceof CallKind.Order) || entry.state() instanceof CallState.Ready;
    }

    private static void expire(CallEntry entry, Board board, Effects effects) {
        switch (entry.state()) {
            case CallState.Ready ready -> CallCompletion.fail(board, effects, entry, expiryFailure(entry, board));
            case CallState.Running running -> {
                effects.add(new AttemptEffect.CancelAttempt(running.attempt()));
                CallCompletion.fail(board, effects, entry, Failure.of(ErrorKind.DEADLINE_EXCEEDED));
            }
            case CallState.Arrived arrived -> {}
            case CallState.Queued queued -> {}
            case CallState.Recording recording -> {}
            case CallState.Completing completing -> {}
        }
    }

    private static Failure expiryFailure(CallEntry entry, Board board) {
        AttemptHistory history = board.retry().histories().get(entry.call().id());
        if (history == null) {
            return Failure.of(
                    ErrorKind.NO_SERVER_AVAILABLE,
                    Destination.of(entry.call().kind()).label());
        }
        return history.awaitsBudget()
                ? Failure.of(ErrorKind.RETRY_BUDGET_EXHAUSTED, history.reason()).withExecutionStatus(history.ran())
                : Failure.of(ErrorKind.DEADLINE_EXCEEDED).withExecutionStatus(history.ran());
    }
}
