package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.quarantine.Blame;

/** Timer part of the forward controller: avoids unresponsive servers, enforces quarantine and deadlines. Stateless. */
final class ForwardTimer {
    /**
     * Time after which an answer that has not started is overdue and its server is avoided, in target latencies of the
     * route. Servers under load need one or two; callers give up after four.
     */
    private static final int OVERDUE_TARGET_LATENCIES = 2;

    private ForwardTimer() {}

    private static void checkOverdue(ForwardCall call, Board board, long nowNanos, Effects effects) {
        if (!(call.state() instanceof ForwardCall.State.Running running) || running.answerStarted()) {
            return;
        }
        long waitedMillis = (nowNanos - running.sentNanos()) / 1_000_000;
        // The product of a very long target latency does not fit into a long.
        if (waitedMillis / OVERDUE_TARGET_LATENCIES < call.route().targetLatencyMillis()) {
            return;
        }
        if (board.forward().statistics(running.server()).recordOverdue(running.sentNanos(), nowNanos)) {
            effects.count("forward.servers_silent");
            effects.log(
                    "server_silent",
                    "request",
                    call.head().requestId(),
                    "attempt",
                    running.attempt(),
                    "server",
                    running.server(),
                    "waited_ms",
                    waitedMillis);
        }
    }

    /** Ends a request whose content was found to crash servers after it was sent, so that it crashes no further one. */
    private static void stopQuarantined(ForwardCall call, Board board, long nowNanos, Effects effects) {
        if (call.state() instanceof ForwardCall.State.Running running
                && ForwardController.blame(call, board, nowNanos)
                        .filter(blame -> blame instanceof Blame.Proven)
                        .isPresent()) {
            effects.count(ErrorKind.REQUEST_CRASHED_SERVERS.metricName());
            effects.log(
                    "quarantined_attempt_stopped",
                    "request",
                    call.head().requestId(),
                    "attempt",
                    running.attempt(),
                    "server",
                    running.server(),
                    "begun",
                    running.answerStarted());
            cancel(call, effects);
            effects.add(new ForwardEffect.RefuseForward(call.ticket(), Failure.of(ErrorKind.REQUEST_CRASHED_SERVERS)));
        }
    }

    /** Avoids servers with overdue answers, stops quarantined requests and ends those whose deadline has passed. */
    static void tick(Board board, long nowNanos, Effects effects) {
        for (ForwardCall call : new ArrayList<>(board.forward().calls())) {
            checkOverdue(call, board, nowNanos, effects);
            stopQuarantined(call, board, nowNanos, effects);
            if (nowNanos - call.admission().deadlineNanos() >= 0
                    && call.state() instanceof ForwardCall.State.Running running) {
                effects.count("forward.timeouts");
                cancel(call, effects);
                Failure failure = Failure.of(ErrorKind.DEADLINE_EXCEEDED);
                effects.add(
                        running.answerStarted()
                                ? new ForwardEffect.BreakForward(call.ticket(), failure)
                                : new ForwardEffect.RefuseForward(call.ticket(), failure));
                effects.log(
                        "request_timed_out",
                        "request",
                        call.head().requestId(),
                        "server",
                        running.server(),
                        "begun",
                        running.answerStarted());
            }
            endExpiredHandover(call, nowNanos, effects);
        }
    }

    private static void endExpiredHandover(ForwardCall call, long nowNanos, Effects effects) {
        if (nowNanos - call.admission().deadlineNanos() >= 0
                && call.state() instanceof ForwardCall.State.HandedOver handedOver) {
            effects.count("forward.timeouts");
            cancel(call, effects);
            Failure failure = Failure.of(ErrorKind.DEADLINE_EXCEEDED);
            effects.add(
                    handedOver.answerStarted()
                            ? new ForwardEffect.BreakForward(call.ticket(), failure)
                            : new ForwardEffect.RefuseForward(call.ticket(), failure));
            effects.log(
                    "request_timed_out",
                    "request",
                    call.head().requestId(),
                    "helper",
                    handedOver.helper(),
                    "begun",
                    handedOver.answerStarted());
        }
    }

    /** Returns the requests whose deadline has passed before it was known where their stream began. */
    static List<ForwardCall> expiredAwaitingOrigin(Board board, long nowNanos) {
        return board.forward().calls().stream()
                .filter(call -> call.state() instanceof ForwardCall.State.AwaitingOrigin
                        && nowNanos - call.admission().deadlineNanos() >= 0)
                .toList();
    }

    /** Cancels the running attempt. The request is removed when the attempt has ended. */
    static void cancel(ForwardCall call, Effects effects) {
        if (call.state() instanceof ForwardCall.State.Running running) {
            call.setState(new ForwardCall.State.Cancelling(running));
            effects.add(new ForwardEffect.CancelForward(call.ticket()));
        } else if (call.state() instanceof ForwardCall.State.HandedOver handedOver) {
            call.setState(new ForwardCall.State.CancellingHandover(handedOver.attempt()));
            effects.add(new ForwardEffect.CancelForward(call.ticket()));
        }
    }
}
