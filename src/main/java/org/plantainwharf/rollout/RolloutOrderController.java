package org.plantainwharf.rollout;

import java.util.List;
import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.RolloutEffect;
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
 * Checks and proposes the orders of operators, and reads rollouts through the control group's log. Invariants: an order is
 * acknowledged only once it is committed; every request gets exactly one answer; an order is refused for an unknown service
 * only if a document that is at least as new as the order lacks the service. Must come after the consensus and document
 * controllers. Runs on the control thread.
 */
public final class RolloutOrderController implements Controller {
    private static final int CONTROL_GROUP = 0;

    private RolloutOrderController() {}

    /** Returns the controller of a daemon that receives orders from operators. */
    public static RolloutOrderController create() {
        return new RolloutOrderController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case RolloutEvent rollout -> onRequest(rollout, board, effects);
            case ReplicationEvent replication -> onReplication(replication, board, effects);
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

    /** Answers an operator whose request could not be handled. An order may have been committed. */
    @Override
    public void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof RolloutEvent rollout) {
            effects.count(ErrorKind.INTERNAL_ERROR.metricName());
            effects.add(new RolloutEffect.RefuseRollout(rollout.ticket(), Failure.of(ErrorKind.INTERNAL_ERROR)));
        }
    }

    private static void onRequest(RolloutEvent event, Board board, Effects effects) {
        switch (event) {
            case RolloutEvent.RolloutOrdered ordered -> onOrder(ordered, board, effects);
            case RolloutEvent.RolloutRequested requested ->
                propose(
                        "read",
                        requested.ticket(),
                        new PendingRolloutRequest.Read(requested),
                        new Command.ReadRollout(requested.service()),
                        board,
                        effects);
        }
    }

    private static void onOrder(RolloutEvent.RolloutOrdered ordered, Board board, Effects effects) {
        effects.count("rollout.orders");
        effects.log(
                "rollout_ordered",
                "service",
                ordered.service(),
                "target",
                ordered.target(),
                "duration_ms",
                ordered.durationMillis());
        List<String> problems = RolloutOrderRules.problems(ordered);
        if (!problems.isEmpty()) {
            refuse(ordered, Failure.of(ErrorKind.ROLLOUT_INVALID, String.join("; ", problems)), effects);
        } else if (hasService(ordered, board) || isResend(ordered, board)) {
            begin(ordered, board, effects);
        } else {
            // The document may have been replaced by another daemon just before the order, so the log says which is
            // newest.
            propose(
                    "check",
                    ordered.ticket(),
                    new PendingRolloutRequest.ServiceCheck(ordered),
                    new Command.ReadDocument(),
                    board,
                    effects);
        }
    }

    private static boolean hasService(RolloutEvent.RolloutOrdered ordered, Board board) {
        return board.documents()
                .document()
                .filter(document -> document.services().containsKey(ordered.service()))
                .isPresent();
    }

    /** Returns whether the order has been committed before; the document may have lost the service since. */
    private static boolean isResend(RolloutEvent.RolloutOrdered ordered, Board board) {
        return board.configuration()
                .state()
                .rolloutOfResend(command(ordered, board))
                .isPresent();
    }

    private static Command.BeginRollout command(RolloutEvent.RolloutOrdered ordered, Board board) {
        return new Command.BeginRollout(
                ordered.service(), ordered.target(), ordered.durationMillis(), board.wallClockMillis());
    }

    private static void begin(RolloutEvent.RolloutOrdered ordered, Board board, Effects effects) {
        propose(
                "begin",
                ordered.ticket(),
                new PendingRolloutRequest.Order(ordered),
                command(ordered, board),
                board,
                effects);
    }

    private static void propose(
            String kind, long ticket, PendingRolloutRequest request, Command command, Board board, Effects effects) {
        String proposalId = "rollout/" + kind + "/" + board.membership().self() + "/"
                + board.membership().incarnation() + "/" + ticket;
        board.rollouts().await(proposalId, request);
        effects.post(new ReplicationEvent.ProposalRequested(proposalId, CONTROL_GROUP, command));
    }

    private static void onReplication(ReplicationEvent event, Board board, Effects effects) {
        switch (event) {
            case ReplicationEvent.ProposalDecided decided ->
                board.rollouts()
                        .takeRequest(decided.proposalId())
                        .ifPresent(request -> onDecided(request, decided.result(), board, effects));
            case ReplicationEvent.ProposalFailed failed ->
                board.rollouts()
                        .takeRequest(failed.proposalId())
                        .ifPresent(request -> onUndecided(request, failed.reason(), effects));
            case ReplicationEvent.EntryApplied ignored -> {}
            case ReplicationEvent.StateReplaced ignored -> {}
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    private static void onDecided(PendingRolloutRequest request, CommandResult result, Board board, Effects effects) {
        switch (request) {
            case PendingRolloutRequest.ServiceCheck check -> onNewestDocument(check.ordered(), result, board, effects);
            case PendingRolloutRequest.Order order -> onOrderDecided(order.ordered(), result, effects);
            case PendingRolloutRequest.Read read -> effects.add(answer(read.requested(), result, effects));
        }
    }

    private static void onNewestDocument(
            RolloutEvent.RolloutOrdered ordered, CommandResult result, Board board, Effects effects) {
        if (!(result instanceof CommandResult.DocumentContent newest)) {
            refuse(ordered, unexpected(result, effects), effects);
        } else if (hasService(ordered, board) || isResend(ordered, board)) {
            begin(ordered, board, effects);
        } else if (board.documents().version() >= newest.version()) {
            refuse(
                    ordered,
                    Failure.of(
                            ErrorKind.ROLLOUT_INVALID,
                            "service must be one of the document in force, version "
                                    + board.documents().version() + ", got " + ordered.service()),
                    effects);
        } else {
            refuse(ordered, Failure.of(ErrorKind.ROLLOUT_SERVICE_UNCONFIRMED, ordered.service()), effects);
        }
    }

    private static void onOrderDecided(RolloutEvent.RolloutOrdered ordered, CommandResult result, Effects effects) {
        if (result instanceof CommandResult.RolloutHeld held) {
            effects.count("rollout.orders_acknowledged");
            effects.log(
                    "rollout_acknowledged",
                    "service",
                    ordered.service(),
                    "number",
                    held.rollout().number(),
                    "target",
                    ordered.target());
            effects.add(new RolloutEffect.AcknowledgeOrder(ordered.ticket(), held.rollout()));
        } else if (result instanceof CommandResult.RolloutConflict conflict) {
            refuse(
                    ordered,
                    Failure.of(
                            ErrorKind.ROLLOUT_CONFLICT,
                            ordered.service(),
                            conflict.inProgress().target()),
                    effects);
        } else if (result instanceof CommandResult.Ignored) {
            refuse(
                    ordered,
                    Failure.of(
                            ErrorKind.ROLLOUT_INVALID,
                            "service must be one of those that had a rollout, because no more are kept, got "
                                    + ordered.service()),
                    effects);
        } else {
            refuse(ordered, unexpected(result, effects), effects);
        }
    }

    private static RolloutEffect answer(
            RolloutEvent.RolloutRequested requested, CommandResult result, Effects effects) {
        if (result instanceof CommandResult.RolloutHeld held) {
            return new RolloutEffect.ReturnRollout(requested.ticket(), held.rollout());
        }
        return new RolloutEffect.RefuseRollout(
                requested.ticket(),
                result instanceof CommandResult.NoRollout
                        ? Failure.of(ErrorKind.ROLLOUT_NOT_FOUND, requested.service())
                        : unexpected(result, effects));
    }

    private static Failure unexpected(CommandResult result, Effects effects) {
        effects.log("rollout_result_unexpected", "type", result.getClass().getSimpleName());
        return Failure.of(ErrorKind.INTERNAL_ERROR);
    }

    private static void onUndecided(PendingRolloutRequest request, ErrorKind reason, Effects effects) {
        switch (request) {
            case PendingRolloutRequest.ServiceCheck check ->
                refuse(
                        check.ordered(),
                        Failure.of(
                                ErrorKind.ROLLOUT_SERVICE_UNCONFIRMED,
                                check.ordered().service()),
                        effects);
            case PendingRolloutRequest.Order order ->
                refuse(
                        order.ordered(),
                        Failure.of(ErrorKind.ROLLOUT_UNDECIDED, order.ordered().service()),
                        effects);
            case PendingRolloutRequest.Read read ->
                effects.add(new RolloutEffect.RefuseRollout(read.requested().ticket(), Failure.of(reason)));
        }
    }

    private static void refuse(RolloutEvent.RolloutOrdered ordered, Failure failure, Effects effects) {
        refusalCounter(failure.kind()).ifPresent(effects::count);
        effects.count(failure.kind().metricName());
        effects.log(
                "rollout_refused",
                "service",
                ordered.service(),
                "target",
                ordered.target(),
                "kind",
                failure.kind().code(),
                "message",
                failure.message());
        effects.add(new RolloutEffect.RefuseRollout(ordered.ticket(), failure));
    }

    private static Optional<String> refusalCounter(ErrorKind kind) {
        return switch (kind) {
            case ROLLOUT_INVALID -> Optional.of("rollout.orders_invalid");
            case ROLLOUT_CONFLICT -> Optional.of("rollout.orders_conflicting");
            case ROLLOUT_UNDECIDED, ROLLOUT_SERVICE_UNCONFIRMED -> Optional.of("rollout.orders_undecided");
            default -> Optional.empty();
        };
    }
}
