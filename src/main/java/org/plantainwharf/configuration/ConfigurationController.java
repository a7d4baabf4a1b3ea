package org.plantainwharf.configuration;

import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.OperatorEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
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
 * Proposes submitted sheets to the control group, puts committed sheets in force on this host, and records when a newer
 * sheet may be in force elsewhere. Runs on the control thread.
 */
public final class ConfigurationController implements Controller {
    private static final int CONTROL_GROUP = 0;

    /** Time without contact to the majority after which a newer sheet may be in force elsewhere. */
    private static final long BEHIND_AFTER_NANOS = Duration.ofSeconds(3).toNanos();

    private ConfigurationController() {}

    /** Returns the controller. */
    public static ConfigurationController create() {
        return new ConfigurationController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case OperatorEvent operator -> handleOperator(operator, board, effects);
            case ReplicationEvent replication -> handleReplication(replication, board, effects);
            case TimerEvent timer -> {
                updateBehind(board, nowNanos);
                putInForce(board);
            }
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case PeerEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    /** Answers an operator whose request could not be handled. A sheet may have been committed. */
    @Override
    public void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof OperatorEvent.SheetSubmitted submitted) {
            refuse(submitted.ticket(), effects);
        } else if (event instanceof ReplicationEvent.ProposalDecided decided) {
            board.configuration().removeSubmission(decided.proposalId()).ifPresent(ticket -> refuse(ticket, effects));
        } else if (event instanceof ReplicationEvent.ProposalFailed failed) {
            board.configuration().removeSubmission(failed.proposalId()).ifPresent(ticket -> refuse(ticket, effects));
        }
    }

    private static void refuse(long ticket, Effects effects) {
        Failure failure = Failure.of(ErrorKind.INTERNAL_ERROR);
        effects.add(new OperatorEffect.AnswerOperator(ticket, Either.left(failure)));
    }

    private static void handleOperator(OperatorEvent event, Board board, Effects effects) {
        switch (event) {
            case OperatorEvent.SheetSubmitted submitted -> {
                String proposalId = "sheet/" + board.membership().self() + "/"
                        + board.membership().incarnation() + "/" + submitted.ticket();
                board.configuration().addSubmission(proposalId, submitted.ticket());
                effects.post(new ReplicationEvent.ProposalRequested(
                        proposalId, CONTROL_GROUP, new Command.ApplySheet(submitted.sheet())));
            }
            case OperatorEvent.DrainRequested ignored -> {}
        }
    }

    private static void handleReplication(ReplicationEvent event, Board board, Effects effects) {
        switch (event) {
            case ReplicationEvent.ProposalDecided decided ->
                board.configuration()
                        .removeSubmission(decided.proposalId())
                        .ifPresent(ticket ->
                                effects.add(new OperatorEffect.AnswerOperator(ticket, toAnswer(decided.result()))));
            case ReplicationEvent.ProposalFailed failed ->
                board.configuration()
                        .removeSubmission(failed.proposalId())
                        .ifPresent(ticket -> effects.add(
                                new OperatorEffect.AnswerOperator(ticket, Either.left(Failure.of(failed.reason())))));
            case ReplicationEvent.EntryApplied applied -> {
                if (applied.group() == CONTROL_GROUP) {
                    putInForce(board);
                }
            }
            case ReplicationEvent.StateReplaced replaced -> {
                if (replaced.group() == CONTROL_GROUP) {
                    putInForce(board);
                }
            }
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    /**
     * Puts the newest committed sheet in force. After a restart, waits until this host has heard from a leader and applied
     * all committed entries: the state read from disk may lack the sheet that was in force before the restart, and the
     * version in force must never decrease.
     */
    private static void putInForce(Board board) {
        ConfigurationSection configuration = board.configuration();
        GroupStatus control = board.consensus().group(CONTROL_GROUP);
        boolean heardFromLeader =
                control.voting() ? control.leader().isPresent() : control.lastContactNanos() != Long.MIN_VALUE;
        boolean caughtUp =
                heardFromLeader && control.commitIndex() > 0 && control.appliedIndex() >= control.commitIndex();
        if (configuration.version() > 0 || caughtUp) {
            configuration.state().sheet().ifPresent(configuration::putInForce);
        }
    }

    private static Either<Failure, String> toAnswer(CommandResult result) {
        return switch (result) {
            case CommandResult.SheetAccepted accepted ->
                Either.right("sheet version " + accepted.version() + " accepted, digest " + accepted.digest());
            case CommandResult.SheetConflict conflict ->
                Either.left(Failure.of(ErrorKind.SHEET_VERSION_CONFLICT, conflict.version(), conflict.winnerDigest()));
            case CommandResult.SheetStale stale ->
                Either.left(Failure.of(ErrorKind.SHEET_VERSION_STALE, stale.version(), stale.versionInForce()));
            case CommandResult.Done other -> unexpectedResult();
            case CommandResult.FencingNumber other -> unexpectedResult();
            case CommandResult.IntentGranted other -> unexpectedResult();
            case CommandResult.IntentFinished other -> unexpectedResult();
            case CommandResult.IntentRunning other -> unexpectedResult();
            case CommandResult.IntentLost other -> unexpectedResult();
            case CommandResult.IntentReused other -> unexpectedResult();
            case CommandResult.IntentExpired other -> unexpectedResult();
            case CommandResult.Ignored other -> unexpectedResult();
            case CommandResult.DocumentHeld other -> unexpectedResult();
            case CommandResult.DocumentContent other -> unexpectedResult();
            case CommandResult.UsageRecorded other -> unexpectedResult();
            case CommandResult.RolloutHeld other -> unexpectedResult();
            case CommandResult.RolloutConflict other -> unexpectedResult();
            case CommandResult.NoRollout other -> unexpectedResult();
        };
    }

    private static Either<Failure, String> unexpectedResult() {
        return Either.left(Failure.of(ErrorKind.INTERNAL_ERROR));
    }

    private static void updateBehind(Board board, long nowNanos) {
        GroupStatus control = board.consensus().group(CONTROL_GROUP);
        Optional<Long> contact = control.lastContactNanos() == Long.MIN_VALUE
                ? Optional.empty()
                : Optional.of(control.lastContactNanos());
        board.configuration().setBehind(contact.isEmpty() || nowNanos - contact.get() >= BEHIND_AFTER_NANOS);
    }
}
