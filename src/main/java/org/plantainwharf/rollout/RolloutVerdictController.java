package org.plantainwharf.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.effect.Effects;
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
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.KnownServer;
import org.plantainwharf.replicated.Command;

/**
 * Collects the evidence of the entry daemons on rollouts, and moves rollouts on while this daemon leads the control group
 * under a valid lease. Evidence is kept on all control daemons, so that a new leader has it. Must come after the registry
 * and consensus controllers. Runs on the control thread.
 */
public final class RolloutVerdictController implements Controller {
    private static final int CONTROL_GROUP = 0;

    private static final long DECISION_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** After a change of the leader the reports that were under way arrive within this time. */
    private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Entry daemons link with a control daemon that has started, and report, within this time. */
    private static final long STARTING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final RolloutBounds bounds;
    private final PeriodicTimer decision = PeriodicTimer.ofNanos(DECISION_PERIOD_NANOS);
    private final Map<ServiceName, WatchedRollout> watched = new HashMap<>();
    private final Set<String> undecided = new HashSet<>();
    private boolean started;
    private long startedNanos;
    private long leadingTerm;
    private long leadingNanos;
    private long proposals;

    private RolloutVerdictController(RolloutBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns the controller of a control daemon. */
    public static RolloutVerdictController create(RolloutBounds bounds) {
        return new RolloutVerdictController(bounds);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerMessageReceived received -> onMessage(received, board, nowNanos, effects);
            case PeerEvent ignored -> {}
            case ReplicationEvent replication -> onReplication(replication, board, nowNanos);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case RegistryEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void onMessage(PeerEvent.PeerMessageReceived received, Board board, long nowNanos, Effects effects) {
        if (received.message() instanceof PeerMessage.RolloutEvidence evidence) {
            followLog(board, nowNanos);
            @Nullable WatchedRollout rollout = watched.get(evidence.service());
            if (rollout == null || rollout.rollout().number() != evidence.number()) {
                effects.count("rollout.evidence_of_others");
            } else if (!rollout.evidence().add(received.peer(), received.incarnation(), evidence)) {
                effects.count("rollout.evidence_late");
            }
        }
    }

    private void onReplication(ReplicationEvent event, Board board, long nowNanos) {
        switch (event) {
            case ReplicationEvent.ProposalDecided decided -> undecided.remove(decided.proposalId());
            case ReplicationEvent.ProposalFailed failed -> undecided.remove(failed.proposalId());
            case ReplicationEvent.EntryApplied applied -> followLog(board, nowNanos);
            case ReplicationEvent.StateReplaced replaced -> followLog(board, nowNanos);
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    private void followLog(Board board, long nowNanos) {
        for (Rollout rollout : board.configuration().state().rollouts()) {
            @Nullable WatchedRollout known = watched.get(rollout.service());
            if (!rollout.inProgress()) {
                watched.remove(rollout.service());
            } else if (known == null || known.rollout().number() != rollout.number()) {
                watched.put(rollout.service(), WatchedRollout.create(rollout, board.wallClockMillis(), nowNanos));
            } else {
                known.update(rollout, nowNanos);
            }
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (!started) {
            started = true;
            startedNanos = nowNanos;
        }
        boolean leading = board.consensus().group(CONTROL_GROUP).holdsLease(nowNanos);
        long term = leading ? board.consensus().group(CONTROL_GROUP).term() : 0;
        if (term != leadingTerm) {
            leadingTerm = term;
            leadingNanos = nowNanos;
            undecided.clear();
        }
        if (leading && decision.startIfDue(nowNanos)) {
            followLog(board, nowNanos);
            watched.values().forEach(rollout -> decide(rollout, board, nowNanos, effects));
        }
    }

    private void decide(WatchedRollout watchedRollout, Board board, long nowNanos, Effects effects) {
        Rollout rollout = watchedRollout.rollout();
        int targets = 0;
        int others = 0;
        for (KnownServer server : board.registry().servers()) {
            if (server.ready() && server.report().service().equals(rollout.service())) {
                boolean target = server.report().version().equals(rollout.target());
                targets += target ? 1 : 0;
                others += target ? 0 : 1;
            }
        }
        boolean complete = nowNanos - leadingNanos >= SETTLING_NANOS && nowNanos - startedNanos >= STARTING_NANOS;
        RolloutVerdict.Decision decided = RolloutVerdict.decide(watchedRollout.situation(
                bounds, targets, others, isIdleAtOthers(watchedRollout, board), complete, nowNanos));
        switch (decided) {
            case RolloutVerdict.Decision.Hold hold -> {
                if (watchedRollout.isNewReason(hold.reason())) {
                    log("rollout_held", rollout, rollout.phase(), hold.reason(), effects);
                }
            }
            case RolloutVerdict.Decision.Advance advance ->
                propose(
                        rollout,
                        advance.phase(),
                        advance.reason(),
                        new Command.AdvanceRollout(rollout.service(), rollout.number(), advance.phase()),
                        board,
                        effects);
            case RolloutVerdict.Decision.Finish finish ->
                propose(
                        rollout,
                        finish.verdict(),
                        finish.reason(),
                        new Command.FinishRollout(rollout.service(), rollout.number(), finish.verdict()),
                        board,
                        effects);
        }
    }

    /** A daemon without a link may be cut off with requests running, so it counts as busy until it has started again. */
    private static boolean isIdleAtOthers(WatchedRollout watchedRollout, Board board) {
        for (HostId host : watchedRollout.evidence().hosts()) {
            boolean idle = board.membership()
                    .member(host)
                    .filter(Member::linked)
                    .filter(member -> isIdle(watchedRollout.evidence().of(host, member.incarnation())))
                    .isPresent();
            if (!idle) {
                return false;
            }
        }
        return !watchedRollout.evidence().hosts().isEmpty();
    }

    private static boolean isIdle(PeerMessage.@Nullable RolloutEvidence evidence) {
        return evidence != null
                && evidence.phaseOrder() >= new RolloutPhase.Retiring().order()
                && evidence.runningAtOthers() == 0;
    }

    private void propose(
            Rollout rollout, RolloutPhase phase, String reason, Command.Control command, Board board, Effects effects) {
        String step = "rollout/" + rollout.service() + "/" + rollout.number() + "/" + phase.describe();
        if (undecided.stream().anyMatch(proposal -> proposal.startsWith(step + "/"))) {
            return;
        }
        proposals++;
        String proposalId = step + "/" + board.membership().self() + "/"
                + board.membership().incarnation() + "/" + proposals;
        undecided.add(proposalId);
        log(phase.ended() ? "rollout_verdict" : "rollout_step", rollout, phase, reason, effects);
        effects.count(phase.ended() ? "rollout.verdicts_proposed" : "rollout.steps_proposed");
        effects.post(new ReplicationEvent.ProposalRequested(proposalId, CONTROL_GROUP, command));
    }

    private static void log(String event, Rollout rollout, RolloutPhase phase, String reason, Effects effects) {
        effects.log(
                event,
                "service",
                rollout.service(),
                "rollout",
                rollout.number(),
                "target",
                rollout.target(),
                "phase",
                phase.describe(),
                "reason",
                reason);
    }
}
