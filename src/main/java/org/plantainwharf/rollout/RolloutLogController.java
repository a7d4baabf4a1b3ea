package org.plantainwharf.rollout;

import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
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
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;

/**
 * Logs and counts each phase of a rollout when this daemon applies it, so that the log of any daemon shows how a rollout
 * moved and from when on the daemon acted by it. Must come after the consensus controller. Runs on the control thread.
 */
public final class RolloutLogController implements Controller {
    private static final int CONTROL_GROUP = 0;
    private static final String NO_PHASE = "none";

    private RolloutLogController() {}

    /** Returns the controller of a daemon that follows the control group's log. */
    public static RolloutLogController create() {
        return new RolloutLogController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent replication -> onReplication(replication, board, effects);
            case RolloutEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case PeerEvent ignored -> {}
            case TimerEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case DutyEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private static void onReplication(ReplicationEvent event, Board board, Effects effects) {
        switch (event) {
            case ReplicationEvent.EntryApplied applied -> {
                if (applied.group() == CONTROL_GROUP) {
                    moved(applied, board).ifPresent(rollout -> logPhase(rollout, board, effects));
                }
            }
            case ReplicationEvent.StateReplaced replaced -> {
                if (replaced.group() == CONTROL_GROUP) {
                    board.configuration().state().rollouts().forEach(rollout -> logPhase(rollout, board, effects));
                }
            }
            case ReplicationEvent.ProposalDecided ignored -> {}
            case ReplicationEvent.ProposalFailed ignored -> {}
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    /**
     * Returns the rollout that an entry moved on, in the phase of the entry: when several entries are applied together, the
     * state is that after the last one.
     */
    private static Optional<Rollout> moved(ReplicationEvent.EntryApplied applied, Board board) {
        if (applied.command() instanceof Command.BeginRollout
                && applied.result() instanceof CommandResult.RolloutHeld held) {
            return Optional.of(held.rollout());
        }
        if (!(applied.result() instanceof CommandResult.Done)) {
            return Optional.empty();
        }
        if (applied.command() instanceof Command.AdvanceRollout advance) {
            return board.rollouts()
                    .lastLogged(advance.service())
                    .filter(known -> known.number() == advance.number())
                    .map(known -> known.withPhase(advance.phase()));
        }
        if (applied.command() instanceof Command.FinishRollout finish) {
            return board.rollouts()
                    .lastLogged(finish.service())
                    .filter(known -> known.number() == finish.number())
                    .map(known -> known.withPhase(finish.verdict()));
        }
        return Optional.empty();
    }

    private static void logPhase(Rollout rollout, Board board, Effects effects) {
        Optional<Rollout> last = board.rollouts().lastLogged(rollout.service());
        Optional<Rollout> former = last.filter(known -> known.number() == rollout.number());
        boolean isLoggedAlready = former.filter(known -> !known.phase().mayBecome(rollout.phase()))
                .isPresent();
        // The result of a resend may be a rollout before the newest one.
        if (isLoggedAlready
                || last.filter(known -> known.number() > rollout.number()).isPresent()) {
            return;
        }
        board.rollouts().recordLogged(rollout);
        String phase = phaseName(rollout.phase());
        effects.count("rollout.phases." + phase);
        effects.log(
                "rollout_phase",
                "service",
                rollout.service(),
                "number",
                rollout.number(),
                "target",
                rollout.target(),
                "phase",
                phase,
                "former",
                former.map(known -> phaseName(known.phase())).orElse(NO_PHASE),
                "share",
                share(rollout.phase()),
                "reason",
                reason(rollout.phase()));
    }

    private static String phaseName(RolloutPhase phase) {
        return switch (phase) {
            case RolloutPhase.Observing observing -> "observing";
            case RolloutPhase.Growing growing -> "growing";
            case RolloutPhase.Retiring retiring -> "retiring";
            case RolloutPhase.Completed completed -> "completed";
            case RolloutPhase.RolledBack rolledBack -> "rolled_back";
        };
    }

    /** Returns the share of new requests that the target version gets, from 0 to 1; empty where it depends on the daemon. */
    private static String share(RolloutPhase phase) {
        return switch (phase) {
            case RolloutPhase.Observing observing -> "";
            case RolloutPhase.Growing growing ->
                String.valueOf((double) growing.boundedPermille() / RolloutPhase.WHOLE_PERMILLE);
            case RolloutPhase.Retiring retiring -> "1";
            case RolloutPhase.Completed completed -> "1";
            case RolloutPhase.RolledBack rolledBack -> "0";
        };
    }

    private static String reason(RolloutPhase phase) {
        return switch (phase) {
            case RolloutPhase.RolledBack rolledBack -> rolledBack.reason();
            case RolloutPhase.Observing observing -> "";
            case RolloutPhase.Growing growing -> "";
            case RolloutPhase.Retiring retiring -> "";
            case RolloutPhase.Completed completed -> "";
        };
    }
}
