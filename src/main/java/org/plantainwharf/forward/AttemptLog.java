package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.origin.OriginAnswer;

/** Log lines of the attempts of a request and of the stream that they bring. Used on the control thread. Stateless. */
final class AttemptLog {
    private AttemptLog() {}

    static void started(
            ForwardCall call,
            int attempt,
            ServerSelector.Candidate chosen,
            KeptPartEstimate kept,
            Board board,
            long nowNanos,
            Effects effects) {
        List<Object> fields = new ArrayList<>(List.of(
                "request",
                call.head().requestId(),
                "attempt",
                attempt,
                "route",
                call.route().name(),
                "server",
                chosen.id(),
                "occupied",
                chosen.statistics().estimatedRequests(nowNanos),
                "uncached",
                kept.uncachedTokens(chosen, nowNanos),
                "saved_ms",
                Math.round(kept.savedMillis(chosen, nowNanos)),
                "wait_ms",
                Math.round(kept.waitMillis(chosen, nowNanos)),
                "remaining_ms",
                call.remainingMillis(nowNanos),
                "version",
                board.documents().version(),
                "server_version",
                chosen.server().report().version()));
        fields.addAll(RolloutChoice.describe(call, chosen.server().report(), board, nowNanos));
        effects.log("attempt_started", fields.toArray());
    }

    static void ended(
            ForwardCall call,
            ForwardCall.State.Running running,
            ForwardOutcome outcome,
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
                "answer_ms",
                running.answerStarted()
                        ? (running.answerStartedNanos().getAsLong() - running.sentNanos()) / 1_000_000
                        : -1,
                "after_ms",
                (nowNanos - running.sentNanos()) / 1_000_000,
                "stream_version",
                call.origin().map(origin -> origin.version().value()).orElse(""));
    }

    static void handedOver(ForwardCall call, int attempt, String helper, Effects effects) {
        effects.log(
                "request_handed_over",
                "request",
                call.head().requestId(),
                "attempt",
                attempt,
                "route",
                call.route().name(),
                "helper",
                helper);
    }

    static void handoverEnded(
            ForwardCall call, ForwardCall.State.HandedOver handedOver, ForwardOutcome outcome, Effects effects) {
        effects.log(
                "handover_ended",
                "request",
                call.head().requestId(),
                "attempt",
                handedOver.attempt(),
                "helper",
                handedOver.helper(),
                "outcome",
                outcome);
    }

    static void cancelled(
            ForwardCall call,
            ForwardCall.State.Running stopped,
            ForwardOutcome outcome,
            long nowNanos,
            Effects effects) {
        effects.log(
                "attempt_cancelled",
                "request",
                call.head().requestId(),
                "attempt",
                stopped.attempt(),
                "server",
                stopped.server(),
                "caller_left",
                call.callerDisconnected(),
                "outcome",
                outcome,
                "after_ms",
                (nowNanos - call.admission().arrivedNanos()) / 1_000_000);
    }

    /** Logs what a broken attempt was doing, so that the requests of one crash can be compared. */
    static void broken(ForwardCall call, ForwardCall.State.Running running, long nowNanos, Effects effects) {
        effects.log(
                "attempt_broken",
                "request",
                call.head().requestId(),
                "attempt",
                running.attempt(),
                "route",
                call.route().name(),
                "server",
                running.server(),
                "answering_ms",
                running.answerStarted()
                        ? (nowNanos - running.answerStartedNanos().getAsLong()) / 1_000_000
                        : -1,
                "parts",
                call.head()
                        .prompt()
                        .map(prompt -> prompt.parts().stream()
                                .map(PromptShape.Part::id)
                                .collect(Collectors.joining(",")))
                        .orElse(""));
    }

    /** Logs why a stream does not go on that a caller has events of. */
    static void brokenOff(ForwardCall call, String reason, Effects effects) {
        effects.log(
                "stream_broken_off",
                "request",
                call.head().requestId(),
                "service",
                call.service(),
                "version",
                call.origin().map(origin -> origin.version().value()).orElse(""),
                "reason",
                reason);
    }

    /** Logs which version began the stream that a caller takes up, on what that is based, and what follows from it. */
    static void originDecided(ForwardCall call, OriginAnswer answer, StreamTakeUp.Decision decision, Effects effects) {
        effects.log(
                "stream_origin",
                "request",
                call.head().requestId(),
                "first_attempt",
                call.head().takeUp().flatMap(ForwardHead.TakeUp::firstAttempt).orElse(""),
                "service",
                switch (answer) {
                    case OriginAnswer.Known known -> known.origin().service();
                    case OriginAnswer.Unknown unknown -> call.service();
                },
                "version",
                switch (answer) {
                    case OriginAnswer.Known known -> known.origin().version();
                    case OriginAnswer.Unknown unknown -> "";
                },
                "basis",
                switch (answer) {
                    case OriginAnswer.Known known -> known.basis();
                    case OriginAnswer.Unknown unknown -> "UNKNOWN";
                },
                "decision",
                switch (decision) {
                    case StreamTakeUp.Decision.GoesOn goesOn -> "goes_on";
                    case StreamTakeUp.Decision.Refused refused ->
                        refused.failure().kind().code();
                });
    }
}
