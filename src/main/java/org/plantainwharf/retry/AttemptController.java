package org.plantainwharf.retry;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.admission.Destination;
import org.plantainwharf.board.Board;
import org.plantainwharf.board.CallEnding;
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
import org.plantainwharf.error.Failure;
import org.plantainwharf.error.Ran;
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
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.RequestId;

/**
 * Decides what follows the end of an attempt: the answer, another attempt, or a failure. Also ends calls whose caller
 * left or whose deadline passed.
 *
 * <p>Orders: only an attempt that certainly did not run is repeated here. Every other end of an order belongs to the
 * record package. Accepted work: completion belongs to the record package; a final failure is posted as
 * {@link CallEvent.CallRefused}. Events of an attempt that is not the current one change nothing.
 *
 * <p>Stateless; its state is the {@link RetrySection}. Used by the control thread only.
 */
public final class AttemptController implements Controller {
    /** Attempts after which a call of a caller is given up: more rarely help and multiply the load of a fault. */
    private static final int MAXIMUM_ATTEMPTS = 5;

    /** Longest wait for the retry budget: after that the caller can do better elsewhere. */
    private static final long LONGEST_HOLD_NANOS = 2_000_000_000;

    private AttemptController() {}

    /** Returns a controller. */
    public static AttemptController create() {
        return new AttemptController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent call -> handleCall(call, board, nowNanos, effects);
            case AttemptEvent attempt -> handleAttempt(attempt, board, nowNanos, effects);
            case TimerEvent timer -> {
                releaseHeld(board, nowNanos, effects);
                endOverdue(board, nowNanos, effects);
            }
            case PeerEvent peer -> {}
            case DocumentEvent ignored -> {}
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

    private static void handleCall(CallEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent.CallArrived arrived -> {
                Call call = arrived.call();
                if (board.calls().call(call.id()).isPresent()) {
                    board.retry().deadlines().add(new RetrySection.Deadline(call.deadlineNanos(), call.id()));
                }
            }
            case CallEvent.CallerLeft left ->
                board.calls().call(left.request()).ifPresent(entry -> callerLeft(entry, board, effects));
            case CallEvent.CallRefused refused ->
                board.retry().forget(refused.call().id());
            case CallEvent.CallFinished finished ->
                board.retry().forget(finished.call().id());
            case CallEvent.WorkAsked asked -> {}
        }
    }

    private static void callerLeft(CallEntry entry, Board board, Effects effects) {
        boolean order = entry.call().kind() instanceof CallKind.Order;
        if (entry.call().origin() instanceof Origin.AcceptedWork) {
            return;
        }
        Failure gone = Failure.of(ErrorKind.CALLER_CANCELLED);
        switch (entry.state()) {
            case CallState.Arrived arrived -> CallEnding.fail(board, effects, entry, gone.withRan(Ran.NO));
            case CallState.Queued queued -> CallEnding.fail(board, effects, entry, gone.withRan(Ran.NO));
            case CallState.Ready ready -> {
                if (!order) {
                    CallEnding.fail(
                            board,
                            effects,
                            entry,
                            gone.withRan(board.retry().ranSoFar(entry.call().id())));
                }
            }
            case CallState.Running running -> {
                if (!order) {
                    effects.add(new AttemptEffect.CancelAttempt(running.attempt()));
                    CallEnding.fail(board, effects, entry, gone);
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
            case AttemptEvent.AttemptSent sent -> progress(entry, sent.attempt(), board, nowNanos);
            case AttemptEvent.FirstTokenReceived first -> firstToken(entry, first.attempt(), board, nowNanos);
            case AttemptEvent.TokensReceived tokens -> {
                RetrySection.Progress known = progress(entry, tokens.attempt(), board, nowNanos);
                countTokens(entry, known, known.tokens() + tokens.tokens(), board);
            }
            case AttemptEvent.AttemptCompleted completed -> complete(entry, completed, board, nowNanos, effects);
            case AttemptEvent.AttemptFailed failed -> fail(entry, failed, board, nowNanos, effects);
        }
    }

    /** Returns the progress of the current attempt; the first event of a call's first attempt counts for the budget. */
    private static RetrySection.Progress progress(CallEntry entry, AttemptId attempt, Board board, long nowNanos) {
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

    /** Raises the tokens of an attempt to a total; a total that is lower than what was counted changes nothing. */
    private static void countTokens(CallEntry entry, RetrySection.Progress known, int total, Board board) {
        if (total > known.tokens()) {
            entry.addTokens(total - known.tokens());
            board.retry().progress().put(entry.call().id(), new RetrySection.Progress(known.attempt(), total));
        }
    }

    private static void firstToken(CallEntry entry, AttemptId attempt, Board board, long nowNanos) {
        RetrySection.Progress known = progress(entry, attempt, board, nowNanos);
        switch (entry.call().kind()) {
            case CallKind.Model model -> {
                countTokens(entry, known, Math.max(1, known.tokens()), board);
                if (model.stream()) {
                    entry.markAnswerStarted();
                }
            }
            case CallKind.LongWork work -> countTokens(entry, known, Math.max(1, known.tokens()), board);
            case CallKind.Service service -> {}
            case CallKind.Order order -> {}
        }
    }

    private static void complete(
            CallEntry entry, AttemptEvent.AttemptCompleted completed, Board board, long nowNanos, Effects effects) {
        progress(entry, completed.attempt(), board, nowNanos);
        if (entry.call().kind() instanceof CallKind.Order || entry.call().origin() instanceof Origin.AcceptedWork) {
            return;
        }
        if (streams(entry.call())) {
            effects.add(new CallEffect.FinishStream(entry.call().id()));
        } else {
            Content answer = completed.collected().getOrElse(() -> Content.of("application/octet-stream", new byte[0]));
            effects.add(new CallEffect.AnswerCall(entry.call().id(), completed.httpStatus(), answer));
        }
        CallEnding.finish(board, effects, entry, nowNanos);
    }

    private static boolean streams(Call call) {
        return call.kind() instanceof CallKind.Model model && model.stream();
    }

    private static void fail(
            CallEntry entry, AttemptEvent.AttemptFailed failed, Board board, long nowNanos, Effects effects) {
        Call call = entry.call();
        AttemptProblem problem = failed.problem();
        RetrySection.Progress known = progress(entry, failed.attempt(), board, nowNanos);
        countTokens(entry, known, failed.tokensReceived(), board);
        effects.count("attempts.failed." + problem.code());
        boolean order = call.kind() instanceof CallKind.Order;
        if (order && problem.ran() != Ran.NO) {
            return;
        }
        Failure failure =
                ProblemReply.failure(problem, call, board.settings().bounds().maximumAnswerBytes());
        CallHistory history =
                board.retry().histories().computeIfAbsent(call.id(), id -> CallHistory.create(problem.code(), failure));
        if (entry.state() instanceof CallState.Running running) {
            history.add(running.server(), nowNanos, problem.ran(), problem.code(), failure);
        }
        Failure end = order ? null : finalFailure(entry, problem, history, board, nowNanos);
        if (end != null) {
            effects.count("retries.refused." + end.kind().code());
            CallEnding.fail(board, effects, entry, end);
            return;
        }
        if (!ProblemReply.needsBudget(problem) || board.retry().budget().tryRetry(nowNanos)) {
            effects.count("retries." + problem.code());
        } else {
            effects.count("retries.delayed");
            history.hold(nowNanos);
            board.retry().held().add(call.id());
        }
        board.calls().advance(entry, new CallState.Ready(nowNanos));
    }

    /** Returns the failure that ends a call, null if it may be tried again. */
    private static @Nullable Failure finalFailure(
            CallEntry entry, AttemptProblem problem, CallHistory history, Board board, long nowNanos) {
        Call call = entry.call();
        if (!ProblemReply.retryable(problem)) {
            return history.failure();
        }
        if (board.quarantine().isQuarantined(call.fingerprint(), board.wallClockMillis())) {
            return Failure.of(ErrorKind.REQUEST_QUARANTINED).withRan(history.ran());
        }
        if (nowNanos - call.deadlineNanos() >= 0) {
            return Failure.of(ErrorKind.DEADLINE_EXCEEDED).withRan(history.ran());
        }
        return entry.attempts() >= MAXIMUM_ATTEMPTS ? history.failure() : null;
    }

    private static void releaseHeld(Board board, long nowNanos, Effects effects) {
        RetrySection section = board.retry();
        int count = section.held().size();
        boolean budgetLeft = true;
        for (int index = 0; index < count; index++) {
            RequestId request = section.held().remove();
            CallEntry entry = board.calls().call(request).orElse(null);
            CallHistory history = section.histories().get(request);
            if (entry == null || history == null || !history.held()) {
                continue;
            }
            budgetLeft = budgetLeft && section.budget().tryRetry(nowNanos);
            if (budgetLeft) {
                history.release();
                effects.count("retries." + history.reason());
            } else if (mayGiveUp(entry.call()) && nowNanos - history.heldSinceNanos() > LONGEST_HOLD_NANOS) {
                giveUpHeld(entry, history, board, effects);
            } else {
                section.held().add(request);
            }
        }
    }

    private static void giveUpHeld(CallEntry entry, CallHistory history, Board board, Effects effects) {
        effects.count("retries.refused." + ErrorKind.RETRY_BUDGET_EXHAUSTED.code());
        CallEnding.fail(
                board,
                effects,
                entry,
                Failure.of(ErrorKind.RETRY_BUDGET_EXHAUSTED, history.reason()).withRan(history.ran()));
    }

    /** Says whether a call may be given up for lack of budget; promised work waits on until its deadline. */
    private static boolean mayGiveUp(Call call) {
        return call.origin() instanceof Origin.Caller && !(call.kind() instanceof CallKind.Order);
    }

    private static void endOverdue(Board board, long nowNanos, Effects effects) {
        RetrySection section = board.retry();
        RetrySection.Deadline first = section.deadlines().peek();
        while (first != null && nowNanos - first.nanos() >= 0) {
            section.deadlines().remove();
            CallEntry entry = board.calls().call(first.request()).orElse(null);
            if (entry != null && mayEnd(entry)) {
                endOverdue(entry, board, effects);
            }
            first = section.deadlines().peek();
        }
    }

    /** An order that was sent ends only with its outcome; one that still waits for a server was not sent. */
    private static boolean mayEnd(CallEntry entry) {
        return !(entry.call().kind() instanceof CallKind.Order) || entry.state() instanceof CallState.Ready;
    }

    private static void endOverdue(CallEntry entry, Board board, Effects effects) {
        switch (entry.state()) {
            case CallState.Ready ready -> CallEnding.fail(board, effects, entry, overdueFailure(entry, board));
            case CallState.Running running -> {
                effects.add(new AttemptEffect.CancelAttempt(running.attempt()));
                CallEnding.fail(board, effects, entry, Failure.of(ErrorKind.DEADLINE_EXCEEDED));
            }
            case CallState.Arrived arrived -> {}
            case CallState.Queued queued -> {}
            case CallState.Recording recording -> {}
            case CallState.Completing completing -> {}
        }
    }

    private static Failure overdueFailure(CallEntry entry, Board board) {
        CallHistory history = board.retry().histories().get(entry.call().id());
        if (history == null) {
            return Failure.of(
                    ErrorKind.NO_SERVER_AVAILABLE,
                    Destination.of(entry.call().kind()).label());
        }
        return history.held()
                ? Failure.of(ErrorKind.RETRY_BUDGET_EXHAUSTED, history.reason()).withRan(history.ran())
                : Failure.of(ErrorKind.DEADLINE_EXCEEDED).withRan(history.ran());
    }
}
