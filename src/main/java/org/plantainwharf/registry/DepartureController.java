package org.plantainwharf.registry;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.RegistryEffect;
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
import org.plantainwharf.replicated.Departure;

/**
 * Acknowledges the announcements of servers that leave. Invariant: an announcement is acknowledged only once it is
 * committed to the log of the control group, so that no loss that the log survives puts the server in use again. Must
 * come after the registry controller, which puts an announcement in force at once. Runs on the control thread.
 */
public final class DepartureController implements Controller {
    private static final int CONTROL_GROUP = 0;

    private DepartureController() {}

    /** Returns the controller of a daemon that receives reports from servers. */
    public static DepartureController create() {
        return new DepartureController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case RegistryEvent registry -> onReport(registry, board, effects);
            case ReplicationEvent replication -> onReplication(replication, board, effects);
            case PeerEvent ignored -> {}
            case TimerEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
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

    /** Answers a server whose report could not be handled; it sends the report again. */
    @Override
    public void recover(Event event, Board board, long nowNanos, Effects effects) {
        if (event instanceof RegistryEvent registry) {
            effects.add(new RegistryEffect.AnswerServer(registry.ticket(), false));
        } else if (event instanceof ReplicationEvent.ProposalDecided decided) {
            answer(decided.proposalId(), false, board, effects);
        } else if (event instanceof ReplicationEvent.ProposalFailed failed) {
            answer(failed.proposalId(), false, board, effects);
        }
    }

    private static void onReport(RegistryEvent event, Board board, Effects effects) {
        switch (event) {
            case RegistryEvent.ServerReported reported -> {
                ServerReport report = reported.report();
                if (report.phase() != ServerPhase.READY) {
                    acknowledge(
                            reported.ticket(),
                            new Departure(report.server(), report.startEpochMillis(), false),
                            board,
                            effects);
                }
            }
            case RegistryEvent.ServerDeregistered deregistered -> {
                // A deregistration need not state the start; the registry knows it from the earlier reports.
                long startEpochMillis = deregistered.startedMillis().orElseGet(() -> board.registry()
                        .server(deregistered.server())
                        .map(known -> known.report().startEpochMillis())
                        .orElse(0L));
                acknowledge(
                        deregistered.ticket(),
                        new Departure(deregistered.server(), startEpochMillis, true),
                        board,
                        effects);
            }
        }
    }

    private static void acknowledge(long ticket, Departure departure, Board board, Effects effects) {
        if (board.configuration().state().hasDeparted(departure)) {
            effects.add(new RegistryEffect.AnswerServer(ticket, true));
            return;
        }
        String proposalId = "departure/" + board.membership().self() + "/"
                + board.membership().incarnation() + "/" + departure.server() + "/" + departure.startEpochMillis() + "/"
                + (departure.deregistered() ? ServerPhase.GONE : ServerPhase.LEAVING);
        if (board.departures().await(proposalId, ticket)) {
            effects.post(new ReplicationEvent.ProposalRequested(
                    proposalId, CONTROL_GROUP, new Command.RecordDeparture(departure, board.wallClockMillis())));
        }
    }

    private static void onReplication(ReplicationEvent event, Board board, Effects effects) {
        switch (event) {
            case ReplicationEvent.ProposalDecided decided -> answer(decided.proposalId(), true, board, effects);
            case ReplicationEvent.ProposalFailed failed -> answer(failed.proposalId(), false, board, effects);
            case ReplicationEvent.EntryApplied ignored -> {}
            case ReplicationEvent.StateReplaced ignored -> {}
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    private static void answer(String proposalId, boolean acknowledged, Board board, Effects effects) {
        for (long ticket : board.departures().takeTickets(proposalId)) {
            effects.count(acknowledged ? "registry.departures_recorded" : "registry.departures_not_recorded");
            effects.add(new RegistryEffect.AnswerServer(ticket, acknowledged));
        }
    }
}
