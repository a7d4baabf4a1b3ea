package org.plantainwharf.forward;

import java.util.Optional;
import java.util.OptionalLong;

import org.plantainwharf.board.Board;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.room.RoomDecision;
import org.plantainwharf.room.RoomRequest;
import org.plantainwharf.room.RoomSection;
import org.plantainwharf.room.RoomShare;

/**
 * Asks for room before the first attempt of a request. While the room of its service suffices, and for services whose
 * servers tell no slots, {@link QueueAdmission} decides. Used by the forward controller on the control thread. Stateless.
 */
final class RoomGate {
    /** A load report that is older says little about free places. */
    private static final long RECENT_LOAD_NANOS = 500_000_000;

    /** Fraction of the recent waits that is expected at a server of unknown load, as the one with the least is selected. */
    private static final double UNSEEN_FRACTION = 0.5;

    private RoomGate() {}

    /** What a decision rests on. */
    private record Figures(ForwardCall call, RoomRequest request, RoomShare share, boolean granted) {}

    /** Returns why the request is not sent to the selected server; empty if it is sent. */
    static Optional<Failure> refusal(
            ForwardCall call, ServerSelector.Candidate selected, Board board, long nowNanos, Effects effects) {
        if (call.attempts() > 0) {
            return Optional.empty();
        }
        boolean measurable = board.room().isShared()
                && (call.head().prompt().isPresent()
                        || selected.server().report().slots() > 0);
        if (measurable && board.room().isShort(call.service())) {
            return refusalInShortage(call, selected, board, nowNanos, effects);
        }
        boolean admitted = QueueAdmission.admits(call, call.effectivePriority(), selected, board, nowNanos);
        if (measurable) {
            board.room().recordUndecided(call.service(), request(call, selected, board, nowNanos), admitted, nowNanos);
        }
        if (admitted) {
            return Optional.empty();
        }
        recordTurnedAway(call, true, board);
        return Optional.of(Failure.of(ErrorKind.SERVERS_OVERLOADED, call.service())
                .withRetryAfter(RetryAfter.limitedBy(call.head(), QueueAdmission.returnMillis(call, board))));
    }

    private static Optional<Failure> refusalInShortage(
            ForwardCall call, ServerSelector.Candidate selected, Board board, long nowNanos, Effects effects) {
        RoomRequest request = request(call, selected, board, nowNanos);
        long longestReturn =
                RetryAfter.limitedBy(call.head(), RetryAfter.MAXIMUM_MILLIS).toMillis();
        Figures figures = new Figures(
                call,
                request,
                board.room().share(call.service(), nowNanos),
                board.room().isGranted(call.service(), nowNanos));
        RoomDecision decision = board.room().decide(call.service(), request, longestReturn, board.random(), nowNanos);
        return switch (decision) {
            case RoomDecision.Admitted admitted -> {
                effects.count("room.admitted." + admitted.basis().code());
                effects.count("room.admitted.priority_" + request.priority());
                log(figures, "room_admitted", admitted.basis().code(), OptionalLong.empty(), effects);
                yield Optional.empty();
            }
            case RoomDecision.Refused refused -> {
                effects.count("room.refused." + refused.reason().code());
                effects.count("room.refused.priority_" + request.priority());
                log(figures, "room_refused", refused.reason().code(), refused.returnMillis(), effects);
                recordTurnedAway(call, refused.returnMillis().isPresent(), board);
                if (refused.returnMillis().isEmpty()) {
                    effects.count("room.without_place");
                    yield Optional.of(Failure.of(ErrorKind.NO_ROOM_IN_TIME, call.service()));
                }
                effects.count("room.places_kept");
                yield Optional.of(Failure.of(ErrorKind.SERVERS_OVERLOADED, call.service())
                        .withRetryAfter(RetryAfter.known(refused.returnMillis().getAsLong())));
            }
        };
    }

    private static void recordTurnedAway(ForwardCall call, boolean returns, Board board) {
        call.head().prompt().ifPresent(prompt -> board.forward()
                .engineProfile(call.service())
                .recordTurnedAway(prompt, returns));
    }

    private static void log(Figures figures, String event, String reason, OptionalLong returnMillis, Effects effects) {
        RoomRequest request = figures.request();
        effects.log(
                event,
                "request",
                figures.call().head().requestId(),
                "service",
                figures.call().service(),
                "account",
                request.account(),
                "priority",
                request.priority(),
                "reason",
                reason,
                "pressure",
                figures.share().pressure(),
                "fraction",
                figures.share().admittedFraction(request.priority(), request.account()),
                "granted",
                figures.granted(),
                "work_ms",
                request.place().workMillis(),
                "wait_ms",
                request.place().waitMillis(),
                "answer_ms",
                request.place().answerMillis(),
                "target_ms",
                request.targetMillis(),
                "remaining_ms",
                request.remainingMillis(),
                "return_ms",
                returnMillis.isPresent() ? returnMillis.getAsLong() : "none");
    }

    private static RoomRequest request(
            ForwardCall call, ServerSelector.Candidate selected, Board board, long nowNanos) {
        return new RoomRequest(
                call.account().map(AccountRule::name).orElse(RoomRequest.NO_ACCOUNT),
                call.route().name(),
                call.head().fingerprints().getLast(),
                call.effectivePriority(),
                call.route().repeatability() != Repeatability.ONCE,
                call.route().targetLatencyMillis(),
                call.remainingMillis(nowNanos),
                place(call, selected, board, nowNanos));
    }

    private static RoomRequest.Place place(
            ForwardCall call, ServerSelector.Candidate selected, Board board, long nowNanos) {
        ServerStatistics statistics = selected.statistics();
        RoomSection.Observed observed = board.room().observed(call.service(), call.effectivePriority());
        int slots = Math.max(1, selected.server().report().slots());
        int requests = statistics.estimatedRequests(nowNanos);
        boolean recentLoad = statistics.hasLoadSince(nowNanos - RECENT_LOAD_NANOS);
        boolean free = statistics.hasFreePlace(slots, nowNanos);
        double unseenWait = recentLoad || free ? 0 : UNSEEN_FRACTION * observed.recentWait();
        if (call.head().prompt().isEmpty()) {
            double wait = Math.max(0, requests - slots + 1) * observed.work() / slots;
            return new RoomRequest.Place(observed.work(), Math.max(wait, unseenWait), observed.work(), free, true);
        }
        PromptShape prompt = call.head().prompt().get();
        EngineProfile profile = board.forward().engineProfile(call.service());
        double promptMillis = statistics.uncachedTokens(prompt) * statistics.millisPerToken(profile, nowNanos);
        double slotMillis = prompt.outputTokens() * observed.perOutputToken() / slots;
        double queueMillis = free ? 0 : statistics.queueMillis(profile, nowNanos);
        double slotQueueMillis = Math.max(0, requests - slots + 1) * observed.averageStream() / slots;
        return new RoomRequest.Place(
                Math.max(promptMillis, slotMillis),
                Math.max(unseenWait, Math.max(queueMillis, slotQueueMillis) * observed.fractionAtLeastAsUrgent()),
                profile.overheadMillis() + promptMillis,
                free,
                false);
    }
}
