package org.plantainwharf.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.TimerEvent;

/**
 * Ends requests after an event that the forward controller could not handle: no other event would end them. Each gets an
 * answer at once, and its place at a server and its part of a limit are free again. Used by the forward controller on the
 * control thread.
 */
final class ForwardRecovery {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final AccountLimits accounts;

    ForwardRecovery(AccountLimits accounts) {
        this.accounts = accounts;
    }

    /** Ends the request that an event was about. After a tick, ends those whose deadlines have passed. */
    void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof ForwardEvent forward) {
            recover(forward, board, nowNanos, effects);
        } else if (event instanceof TimerEvent.Tick) {
            List<ForwardCall> expired = board.forward().calls().stream()
                    .filter(call -> nowNanos - call.admission().deadlineNanos() >= 0)
                    .toList();
            expired.forEach(call -> end(call, board, nowNanos, effects));
        }
    }

    private void recover(ForwardEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.ForwardArrived arrived -> {
                Optional<ForwardCall> call = board.forward().call(arrived.ticket());
                if (call.isPresent()) {
                    end(call.get(), board, nowNanos, effects);
                } else {
                    refuse(arrived.ticket(), arrived.head(), notRun(arrived.head()), effects);
                }
            }
            case ForwardEvent.ForwardLeft left -> end(left, board, nowNanos, effects);
            case ForwardEvent.ForwardBegan began -> end(began, board, nowNanos, effects);
            case ForwardEvent.StreamBegan streamBegan -> end(streamBegan, board, nowNanos, effects);
            case ForwardEvent.OriginDecided decided -> end(decided, board, nowNanos, effects);
            case ForwardEvent.ForwardEnded ended -> end(ended, board, nowNanos, effects);
            // The request does not depend on these.
            case ForwardEvent.ServerNoticed noticed -> {}
            case ForwardEvent.ServerUnreachable unreachable -> {}
            case ForwardEvent.OriginDoubted doubted -> {}
            case ForwardEvent.OriginRequested requested -> {}
            case ForwardEvent.ConnectionChecked checked -> {}
        }
    }

    private void end(ForwardEvent event, Board board, long nowNanos, Effects effects) {
        board.forward().call(event.ticket()).ifPresent(call -> end(call, board, nowNanos, effects));
    }

    /** Ends a request. The end of an attempt that is running is ignored when it arrives. */
    private void end(ForwardCall call, Board board, long nowNanos, Effects effects) {
        boolean sent = call.attempts() > 0;
        board.forward().remove(call.ticket());
        effects.add(new ForwardEffect.CancelForward(call.ticket()));
        refuse(call.ticket(), call.head(), sent ? Failure.of(ErrorKind.INTERNAL_ERROR) : notRun(call.head()), effects);
        switch (call.state()) {
            case ForwardCall.State.Running running -> free(running, board, nowNanos);
            case ForwardCall.State.Cancelling(ForwardCall.State.Running stopped) -> free(stopped, board, nowNanos);
            case ForwardCall.State.Waiting waiting -> {}
            case ForwardCall.State.AwaitingOrigin awaitingOrigin -> {}
            case ForwardCall.State.HandedOver handedOver -> {}
            case ForwardCall.State.CancellingHandover cancelling -> {}
        }
        if (!sent) {
            accounts.refund(call, board, nowNanos);
        }
    }

    private static void free(ForwardCall.State.Running running, Board board, long nowNanos) {
        ServerStatistics statistics = board.forward().statistics(running.server());
        statistics.recordEnded(nowNanos);
        if (!running.answerStarted()) {
            statistics.recordPromptProcessed(running.uncachedTokens());
        }
    }

    private static Failure notRun(ForwardHead head) {
        Duration retryAfter = RetryAfter.limitedBy(head, RETRY_AFTER_MILLIS);
        return Failure.of(ErrorKind.HANDLING_FAILED).withRetryAfter(retryAfter);
    }

    private static void refuse(long ticket, ForwardHead head, Failure failure, Effects effects) {
        effects.add(new ForwardEffect.RefuseForward(ticket, failure));
        effects.count(failure.kind().metricName());
        effects.log(
                "request_failed",
                "request",
                head.requestId(),
                "kind",
                failure.kind().code(),
                "ran",
                failure.executionStatus(),
                "message",
                failure.message());
    }
}
