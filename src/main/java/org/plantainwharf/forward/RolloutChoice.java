package org.plantainwharf.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.document.NewestDocument;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.origin.StreamOrigin;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.rollout.EvidenceCounts;
import org.plantainwharf.rollout.RolloutPhase;
import org.plantainwharf.rollout.VersionShare;

/**
 * Applies the share of a rollout to the choice of a server, and counts what was sent and how it ended. Without a rollout
 * of the service, each method costs one look-up. Used by the forward controller on the control thread. Stateless.
 */
final class RolloutChoice {
    /** A caller that left earlier says nothing of the time that an answer takes. */
    private static final double MINIMUM_WAIT_MILLIS = 1_000;

    private RolloutChoice() {}

    /** Returns the servers to which the rollout lets the request go. */
    static List<ServerSelector.Candidate> candidates(ForwardCall call, Board board, long nowNanos) {
        @Nullable VersionShare share = board.rollouts().share(call.service());
        if (share == null) {
            return ServerChooser.candidates(call, report -> true, board, nowNanos);
        }
        return switch (share.plan(attempt(call, board, nowNanos))) {
            case VersionShare.Plan.Nowhere nowhere -> List.of();
            case VersionShare.Plan.Anywhere anywhere -> ServerChooser.candidates(call, report -> true, board, nowNanos);
            case VersionShare.Plan.Only only -> ofSide(call, share, only.side(), board, nowNanos);
            case VersionShare.Plan.Preferred preferred -> {
                List<ServerSelector.Candidate> first = ofSide(call, share, preferred.side(), board, nowNanos);
                yield first.isEmpty() ? ofSide(call, share, other(preferred.side()), board, nowNanos) : first;
            }
            case VersionShare.Plan.Shared shared -> {
                List<ServerSelector.Candidate> targets = ofSide(call, share, VersionShare.Side.TARGET, board, nowNanos);
                yield targets.isEmpty()
                        ? ofSide(call, share, VersionShare.Side.OTHERS, board, nowNanos)
                        : concentrated(call, share, targets, shared.servers());
            }
        };
    }

    private static VersionShare.Attempt attempt(ForwardCall call, Board board, long nowNanos) {
        Optional<ServerVersion> origin =
                call.route().mayResumeStream() ? call.origin().map(StreamOrigin::version) : Optional.empty();
        return new VersionShare.Attempt(
                call.route().name(),
                origin,
                NewestDocument.isKnown(board, nowNanos),
                board.allowances().evenShare(),
                nowNanos);
    }

    private static VersionShare.Side other(VersionShare.Side side) {
        return switch (side) {
            case TARGET -> VersionShare.Side.OTHERS;
            case OTHERS -> VersionShare.Side.TARGET;
        };
    }

    private static List<ServerSelector.Candidate> ofSide(
            ForwardCall call, VersionShare share, VersionShare.Side side, Board board, long nowNanos) {
        boolean inTouch = NewestDocument.isKnown(board, nowNanos);
        Predicate<ServerReport> condition =
                report -> share.side(report.version()) == side && (inTouch || share.isConfirmed(report.version()));
        return ServerChooser.candidates(call, condition, board, nowNanos);
    }

    /** Returns the servers that stand for the version; those that are warming up only if there are no others. */
    private static List<ServerSelector.Candidate> concentrated(
            ForwardCall call, VersionShare share, List<ServerSelector.Candidate> targets, int servers) {
        List<ServerSelector.Candidate> warm = targets.stream()
                .filter(candidate -> candidate.server().report().remainingWarmupMillis() == 0)
                .toList();
        List<ServerSelector.Candidate> usable = warm.isEmpty() ? targets : warm;
        List<ServerId> chosen = share.serversInShare(
                usable.stream().map(ServerSelector.Candidate::id).toList(), servers, call.ticket());
        return usable.stream()
                .filter(candidate -> chosen.contains(candidate.id()))
                .toList();
    }

    /** Returns whether the request goes to servers of other versions if those of the target have no room for it. */
    static boolean leavesToOthers(ForwardCall call, Board board, long nowNanos) {
        @Nullable VersionShare share = board.rollouts().share(call.service());
        return share != null && share.plan(attempt(call, board, nowNanos)) instanceof VersionShare.Plan.Shared;
    }

    /** Returns the servers of other versions. */
    static List<ServerSelector.Candidate> others(ForwardCall call, Board board, long nowNanos) {
        @Nullable VersionShare share = board.rollouts().share(call.service());
        return share == null ? List.of() : ofSide(call, share, VersionShare.Side.OTHERS, board, nowNanos);
    }

    /** Returns whether a verdict forbids everything at the version that began a stream. */
    static boolean isGone(StreamOrigin origin, Board board, long nowNanos) {
        @Nullable VersionShare share = board.rollouts().share(origin.service());
        return share != null && share.isGone(origin.version(), nowNanos);
    }

    /** Counts an attempt that is sent. */
    static void recordSent(ForwardCall call, ServerReport report, Board board, Effects effects) {
        @Nullable VersionShare share = board.rollouts().share(call.service());
        if (share == null) {
            return;
        }
        share.recordSent(call.route().name(), report.version(), call.attempts() == 1);
        effects.count(
                share.side(report.version()) == VersionShare.Side.TARGET
                        ? "rollout.sent_to_target"
                        : "rollout.sent_to_others");
    }

    /** Returns names and values that say which rollout let an attempt go to a version, and why; empty without one in progress. */
    static List<Object> describe(ForwardCall call, ServerReport report, Board board, long nowNanos) {
        @Nullable VersionShare share = board.rollouts().share(call.service());
        if (share == null || !share.rollout().inProgress()) {
            return List.of();
        }
        VersionShare.Plan plan = share.plan(attempt(call, board, nowNanos));
        boolean left =
                plan instanceof VersionShare.Plan.Shared && share.side(report.version()) == VersionShare.Side.OTHERS;
        return List.of(
                "rollout",
                share.rollout().number(),
                "phase",
                share.rollout().phase().describe(),
                "target",
                share.rollout().target(),
                "why",
                left ? "no_room_at_target" : plan.reason());
    }

    /** Counts how an attempt ended, unless this daemon may be cut off from the server. */
    static void recordEnded(
            ForwardCall call, ForwardCall.State.Running running, ForwardOutcome outcome, Board board, long nowNanos) {
        @Nullable VersionShare share = board.rollouts().share(call.service());
        if (share == null
                || share.rollout().phase() instanceof RolloutPhase.Completed
                || running.sentNanos() - share.sinceNanos() < 0
                || !NewestDocument.isKnown(board, nowNanos)) {
            return;
        }
        ending(call, running, outcome, board, nowNanos).ifPresent(ending -> share.counts()
                .record(
                        call.route().name(),
                        share.side(running.version()) == VersionShare.Side.TARGET,
                        running.server() + "@" + running.startEpochMillis(),
                        ending,
                        nowNanos));
    }

    private static Optional<EvidenceCounts.Ending> ending(
            ForwardCall call, ForwardCall.State.Running running, ForwardOutcome outcome, Board board, long nowNanos) {
        return switch (outcome) {
            case ForwardOutcome.Completed completed -> Optional.of(answered(running, board, nowNanos));
            case ForwardOutcome.Refused refused -> Optional.of(new EvidenceCounts.Ending.Refused());
            case ForwardOutcome.Failed failed -> Optional.of(new EvidenceCounts.Ending.Failed());
            case ForwardOutcome.Broken broken ->
                Optional.of(
                        broken.connectionLost()
                                ? new EvidenceCounts.Ending.ConnectionLost()
                                : new EvidenceCounts.Ending.Failed());
            // Nothing listens at the address, as after a crash, which the requests that it ended tell.
            case ForwardOutcome.NotSent notSent -> Optional.empty();
            case ForwardOutcome.Withheld withheld -> Optional.empty();
            case ForwardOutcome.Cancelled cancelled -> cancelled(call, running, board, nowNanos);
        };
    }

    /** An attempt that was cancelled at its deadline is a failure if nothing came; one whose caller left may be slow. */
    private static Optional<EvidenceCounts.Ending> cancelled(
            ForwardCall call, ForwardCall.State.Running running, Board board, long nowNanos) {
        if (!call.callerDisconnected() && !running.answerStarted() && call.remainingMillis(nowNanos) == 0) {
            return Optional.of(new EvidenceCounts.Ending.Failed());
        }
        boolean waitedLong = (nowNanos - running.sentNanos()) / 1e6 >= MINIMUM_WAIT_MILLIS;
        return waitedLong && !running.answerStarted()
                ? Optional.of(answered(running, board, nowNanos))
                : Optional.empty();
    }

    private static EvidenceCounts.Ending answered(ForwardCall.State.Running running, Board board, long nowNanos) {
        boolean warmingUp = board.registry()
                .server(running.server())
                .filter(server -> server.report().remainingWarmupMillis() > 0)
                .isPresent();
        long startedNanos = running.answerStartedNanos().orElse(nowNanos);
        return new EvidenceCounts.Ending.Answered(
                (startedNanos - running.sentNanos()) / 1e6, (nowNanos - running.sentNanos()) / 1e6, !warmingUp);
    }
}
