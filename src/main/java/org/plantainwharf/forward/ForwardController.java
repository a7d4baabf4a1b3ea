package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.error.Ran;
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
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.KnownServer;

/**
 * Decides on requests that are passed on: chooses the server, repeats what may be repeated within budget and time, and ends each request with exactly one answer. "Not run" is said
 * only where no attempt may have run. Runs on the control thread.
 */
public final class ForwardController implements Controller {
    /** A server that says it is full is left alone this long unless it names a time. */
    private static final long FULL_MILLIS = 150;

    /** Below this time left another attempt cannot be answered in time. */
    private static final long LEAST_REMAINING_MILLIS = 20;

    /** A server that was not heard of for this long is chosen only when no other is there. */
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(4_500);

    /** Most urgent and least urgent value of the priority told to engines. */
    private static final int LEAST_URGENT = 9;

    private final ForwardLimits limits;
    private final AccountLimits accounts;
    private final ForwardArrivals arrivals;

    private ForwardController(ForwardLimits limits) {
        this.limits = limits;
        this.accounts = new AccountLimits(limits);
        this.arrivals = new ForwardArrivals(accounts);
    }

    /** Returns the controller. */
    public static ForwardController create(ForwardLimits limits) {
        return new ForwardController(limits);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent forward -> onForward(forward, board, nowNanos, effects);
            case TimerEvent.Tick tick -> ForwardTimer.tick(board, nowNanos, effects);
            case DocumentEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case DutyEvent ignored -> {}
            case PeerEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void onForward(ForwardEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.ForwardArrived arrived -> arrive(arrived, board, nowNanos, effects);
            case ForwardEvent.ForwardLeft left ->
                board.forward().call(left.ticket()).ifPresent(call -> leave(call, board, effects));
            case ForwardEvent.ForwardBegan began ->
                board.forward().call(began.ticket()).ifPresent(call -> begin(call, began, board, nowNanos));
            case ForwardEvent.ForwardEnded ended ->
                board.forward().call(ended.ticket()).ifPresent(call -> end(call, ended, board, nowNanos, effects));
        }
    }

    private void arrive(ForwardEvent.ForwardArrived arrived, Board board, long nowNanos, Effects effects) {
        arrivals.admit(arrived, board, nowNanos, effects).ifPresent(call -> {
            board.forward().put(call);
            board.forward()
                    .retryBudget(call.service(), limits.retryShare(), limits.retryMinimum())
                    .countAttempt(nowNanos);
            call.head().prompt().ifPresent(board.forward().lanes(call.service())::arrived);
            send(call, board, nowNanos, effects);
        });
    }

    /** Sends a request to the best server, or ends it when there is none. */
    private void send(ForwardCall call, Board board, long nowNanos, Effects effects) {
        if (call.remainingMillis(nowNanos) < LEAST_REMAINING_MILLIS) {
            finish(call, Failure.of(ErrorKind.DEADLINE_EXCEEDED), board, nowNanos, effects);
            return;
        }
        List<ServerChoice.Candidate> candidates = candidates(call, board, nowNanos);
        Optional<ServerChoice.Candidate> chosen = ServerChoice.best(
                candidates,
                call.head().prompt(),
                longServers(call, candidates, board),
                board.membership().zone(),
                nowNanos);
        if (chosen.isEmpty()) {
            finish(
                    call,
                    Failure.of(ErrorKind.NO_SERVER_AVAILABLE, call.service())
                            .withRetryAfter(RetryAfter.within(call.head(), FULL_MILLIS)),
                    board,
                    nowNanos,
                    effects);
            return;
        }
        KnownServer server = chosen.get().server();
        ServerLedger ledger = chosen.get().ledger();
        long uncached = call.head().prompt().map(ledger::uncachedTokens).orElse(0L);
        ServerId id = server.report().server();
        int attempt = call.nextAttempt(id);
        effects.log(
                "attempt_started",
                "request",
                call.head().requestId(),
                "attempt",
                attempt,
                "route",
                call.route().name(),
                "server",
                id,
                "occupied",
                ledger.occupied(nowNanos),
                "uncached",
                uncached,
                "remaining_ms",
                call.remainingMillis(nowNanos),
                "version",
                board.documents().version());
        ledger.sent(uncached, call.head().prompt(), nowNanos);
        call.setState(new ForwardCall.State.Running(id, attempt, uncached, nowNanos, false));
        effects.add(new ForwardEffect.StartForward(
                call.ticket(),
                attempt,
                id,
                server.report().address(),
                call.remainingMillis(nowNanos),
                call.account().map(AccountRule::name),
                priority(call),
                call.route().mayContinue()));
    }

    private static Set<ServerId> longServers(ForwardCall call, List<ServerChoice.Candidate> candidates, Board board) {
        return call.head().prompt().isEmpty()
                ? Set.of()
                : board.forward()
                        .lanes(call.service())
                        .longServers(candidates.stream()
                                .map(candidate -> candidate.server().report().server())
                                .toList());
    }

    private static int priority(ForwardCall call) {
        int declared = call.account()
                .flatMap(account -> account.priority().isPresent()
                        ? Optional.of(account.priority().getAsInt())
                        : Optional.empty())
                .orElse(call.route().priority());
        return Math.max(0, Math.min(LEAST_URGENT, declared));
    }

    /** Returns servers that may take the request: those without trouble if there are any, else all that are left. */
    private static List<ServerChoice.Candidate> candidates(ForwardCall call, Board board, long nowNanos) {
        List<ServerChoice.Candidate> sound = new ArrayList<>();
        List<ServerChoice.Candidate> doubtful = new ArrayList<>();
        for (KnownServer server : board.registry().servers()) {
            if (!server.ready()
                    || !server.report().service().equals(call.service())
                    || call.tried().contains(server.report().server())) {
                continue;
            }
            ServerLedger ledger = board.forward().ledger(server.report().server());
            boolean trouble = ledger.avoided(nowNanos) || server.silentNanos(nowNanos) >= SILENT_NANOS;
            (trouble ? doubtful : sound).add(new ServerChoice.Candidate(server, ledger));
        }
        return sound.isEmpty() ? doubtful : sound;
    }

    private static void begin(ForwardCall call, ForwardEvent.ForwardBegan began, Board board, long nowNanos) {
        if (call.state() instanceof ForwardCall.State.Running running && running.attempt() == began.attempt()) {
            ServerLedger ledger = board.forward().ledger(running.server());
            ledger.promptRead(running.uncachedTokens());
            began.load().ifPresent(load -> ledger.report(load, nowNanos));
            ledger.succeeded(nowNanos - running.sentNanos(), nowNanos);
            call.setState(new ForwardCall.State.Running(
                    running.server(), running.attempt(), running.uncachedTokens(), running.sentNanos(), true));
        }
    }

    private static void leave(ForwardCall call, Board board, Effects effects) {
        call.setCallerLeft();
        effects.count("forward.callers_left");
        if (call.state() instanceof ForwardCall.State.Running) {
            ForwardTimer.cancel(call, effects);
        } else if (call.state() instanceof ForwardCall.State.Waiting) {
            board.forward().remove(call.ticket());
        }
    }

    private void end(ForwardCall call, ForwardEvent.ForwardEnded ended, Board board, long nowNanos, Effects effects) {
        switch (call.state()) {
            case ForwardCall.State.Running running -> {
                if (running.attempt() == ended.attempt()) {
                    settle(running.server(), running.uncachedTokens(), running.begun(), ended, board, nowNanos);
                    call.setState(new ForwardCall.State.Waiting());
                    decide(call, running, ended.outcome(), board, nowNanos, effects);
                }
            }
            case ForwardCall.State.Cancelling cancelling -> {
                if (cancelling.attempt() == ended.attempt()) {
                    settle(
                            cancelling.server(),
                            cancelling.uncachedTokens(),
                            cancelling.begun(),
                            ended,
                            board,
                            nowNanos);
                    effects.log(
                            "attempt_cancelled",
                            "request",
                            call.head().requestId(),
                            "attempt",
                            cancelling.attempt(),
                            "server",
                            cancelling.server(),
                            "caller_left",
                            call.callerLeft(),
                            "outcome",
                            ended.outcome(),
                            "after_ms",
                            (nowNanos - call.terms().arrivedNanos()) / 1_000_000);
                    board.forward().remove(call.ticket());
                }
            }
            case ForwardCall.State.Waiting waiting -> {}
        }
    }

    private static void settle(
            ServerId server,
            long uncached,
            boolean begun,
            ForwardEvent.ForwardEnded ended,
            Board board,
            long nowNanos) {
        ServerLedger ledger = board.forward().ledger(server);
        ledger.ended();
        if (!begun) {
            ledger.promptRead(uncached);
        }
        ended.load().ifPresent(load -> ledger.report(load, nowNanos));
        switch (ended.outcome()) {
            case ForwardOutcome.Completed completed -> {}
            case ForwardOutcome.Cancelled cancelled -> {}
            case ForwardOutcome.Refused refused ->
                ledger.full(
                        TimeUnit.MILLISECONDS.toNanos(
                                Math.min(refused.retryAfterMillis().orElse(FULL_MILLIS), RetryAfter.LONGEST_MILLIS)),
                        nowNanos);
            case ForwardOutcome.NotSent notSent -> ledger.failed(true, nowNanos);
            case ForwardOutcome.Failed failed -> ledger.failed(false, nowNanos);
            case ForwardOutcome.Broken broken -> ledger.failed(false, nowNanos);
        }
    }

    private void decide(
            ForwardCall call,
            ForwardCall.State.Running running,
            ForwardOutcome outcome,
            Board board,
            long nowNanos,
            Effects effects) {
        effects.log(
                "attempt_ended",
                "request",
                call.head().requestId(),
                "attempt",
                running.attempt(),
                "server",
                running.server(),
                "outcome",
                outcome,
                "after_ms",
                (nowNanos - running.sentNanos()) / 1_000_000);
        switch (outcome) {
            case ForwardOutcome.Completed completed -> board.forward().remove(call.ticket());
            case ForwardOutcome.Cancelled cancelled -> board.forward().remove(call.ticket());
            case ForwardOutcome.Refused refused -> {
                effects.count("forward.server_refused");
                againOr(call, Failure.of(ErrorKind.SERVER_REFUSED), board, nowNanos, effects);
            }
            case ForwardOutcome.NotSent notSent -> {
                effects.count("forward.not_sent");
                againOr(call, Failure.of(ErrorKind.NO_SERVER_AVAILABLE, call.service()), board, nowNanos, effects);
            }
            case ForwardOutcome.Failed failed -> {
                call.countMayHaveRun();
                effects.count("forward.server_failed");
                if (mayRunAgain(call) && budgetAllows(call, board, nowNanos, effects)) {
                    send(call, board, nowNanos, effects);
                } else {
                    board.forward().remove(call.ticket());
                    effects.add(new ForwardEffect.PassFailure(call.ticket()));
                }
            }
            case ForwardOutcome.Broken broken -> {
                call.countMayHaveRun();
                effects.count("forward.broken");
                boolean open = !broken.begun() || call.route().mayContinue();
                if (open && mayRunAgain(call) && budgetAllows(call, board, nowNanos, effects)) {
                    send(call, board, nowNanos, effects);
                } else if (broken.begun()) {
                    board.forward().remove(call.ticket());
                    effects.add(new ForwardEffect.BreakForward(call.ticket()));
                } else {
                    finish(call, Failure.of(ErrorKind.SERVER_FAILED, broken.reason()), board, nowNanos, effects);
                }
            }
        }
    }

    /** Repeats a request whose last attempt has not run, or ends it. */
    private void againOr(ForwardCall call, Failure failure, Board board, long nowNanos, Effects effects) {
        boolean serverLeft = !candidates(call, board, nowNanos).isEmpty();
        if (serverLeft && budgetAllows(call, board, nowNanos, effects)) {
            send(call, board, nowNanos, effects);
        } else {
            finish(call, failure.withRetryAfter(RetryAfter.within(call.head(), FULL_MILLIS)), board, nowNanos, effects);
        }
    }

    private static boolean mayRunAgain(ForwardCall call) {
        return call.route().mayRepeat() && call.mayHaveRun() < call.route().maximumAttempts();
    }

    private boolean budgetAllows(ForwardCall call, Board board, long nowNanos, Effects effects) {
        boolean allowed = call.remainingMillis(nowNanos) >= LEAST_REMAINING_MILLIS
                && board.forward()
                        .retryBudget(call.service(), limits.retryShare(), limits.retryMinimum())
                        .tryRetry(nowNanos);
        effects.count(allowed ? "forward.retries" : "forward.retries_denied");
        return allowed;
    }

    /** Ends a request whose answer has not begun. Where an attempt may have run, the answer does not deny it. */
    private void finish(ForwardCall call, Failure failure, Board board, long nowNanos, Effects effects) {
        board.forward().remove(call.ticket());
        if (call.mayHaveRun() == 0) {
            accounts.giveBack(call, board, nowNanos);
        }
        Failure truthful = failure;
        if (call.mayHaveRun() > 0 && failure.ran() == Ran.NO) {
            truthful = Failure.of(ErrorKind.SERVER_FAILED, "an attempt may have run");
        } else if (call.mayHaveRun() == 0 && failure.kind() == ErrorKind.DEADLINE_EXCEEDED && call.attempts() == 0) {
            truthful = Failure.of(ErrorKind.QUEUE_TIMEOUT);
        }
        effects.log(
                "request_failed",
                "request",
                call.head().requestId(),
                "kind",
                truthful.kind().code(),
                "ran",
                truthful.ran(),
                "attempts",
                call.attempts(),
                "message",
                truthful.message());
        effects.count(truthful.kind().metricName());
        effects.add(new ForwardEffect.RefuseForward(call.ticket(), truthful));
    }
}
