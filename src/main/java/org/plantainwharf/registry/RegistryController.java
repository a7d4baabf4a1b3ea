package org.plantainwharf.registry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
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
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.LinkedPeers;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.Departure;

/**
 * Merges the reports of backend servers and the recorded departures. A relaying daemon receives reports from servers and sends changes to its
 * peers; the other daemons only receive them. Runs on the control thread.
 */
public final class RegistryController implements Controller {
    private static final int CONTROL_GROUP = 0;

    /** Reports that change nothing but the time of the last report are relayed in one message per period. */
    private static final long REFRESH_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * A server that has not reported for this time is removed. Longer than a partition between zones that servers
     * survive; a server that still exists is added again by its next report.
     */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final boolean relays;
    private final PeriodicTimer refreshPeriod = PeriodicTimer.ofNanos(REFRESH_PERIOD_NANOS);

    private RegistryController(boolean relays) {
        this.relays = relays;
    }

    /** Returns the controller of a daemon that receives reports from servers and relays them to its peers. */
    public static RegistryController relaying() {
        return new RegistryController(true);
    }

    /** Returns the controller of a daemon that receives reports only from its peers. */
    public static RegistryController learning() {
        return new RegistryController(false);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case RegistryEvent registry -> onReport(registry, board, nowNanos, effects);
            case PeerEvent peer -> onPeer(peer, board, nowNanos, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case ForwardEvent forward -> onForward(forward, board, effects);
            case DutyEvent ignored -> {}
            case ReplicationEvent replication -> onReplication(replication, board, effects);
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
        }
    }

    private void onReport(RegistryEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case RegistryEvent.ServerReported reported -> {
                mergeReport(reported.report(), Optional.empty(), board, nowNanos, effects);
                // The departure controller answers the others.
                if (reported.report().phase() == ServerPhase.READY) {
                    effects.add(new RegistryEffect.AnswerServer(reported.ticket(), true));
                }
            }
            case RegistryEvent.ServerDeregistered deregistered ->
                mergeReport(goneReport(deregistered, board.registry()), Optional.empty(), board, nowNanos, effects);
        }
    }

    /**
     * Returns the last report of a server that deregisters. As a deregistration names neither service nor address,
     * these come from the previous report. An unknown server is recorded too, so that its earlier reports are
     * recognised as late if they arrive afterwards.
     */
    private static ServerReport goneReport(RegistryEvent.ServerDeregistered deregistered, RegistrySection section) {
        Optional<ServerReport> known = section.server(deregistered.server()).map(KnownServer::report);
        long startEpochMillis = deregistered
                .startedMillis()
                .orElse(known.map(ServerReport::startEpochMillis).orElse(0L));
        // The maximum sequence makes this the last report of this start: earlier ones that arrive later are ignored.
        return new ServerReport(
                deregistered.server(),
                startEpochMillis,
                Long.MAX_VALUE,
                known.map(ServerReport::service).orElse(ServiceName.of("unknown")),
                known.map(ServerReport::address).orElse("unknown"),
                known.map(ServerReport::zone).orElse(AvailabilityZone.of("unknown")),
                known.map(ServerReport::slots).orElse(0),
                ServerPhase.GONE,
                0,
                false,
                OptionalLong.empty(),
                known.map(ServerReport::version).orElse(ServerVersion.unstated()));
    }

    /** Puts recorded departures in force, also those of servers whose reports arrive later. */
    private static void onReplication(ReplicationEvent event, Board board, Effects effects) {
        switch (event) {
            case ReplicationEvent.EntryApplied applied -> {
                if (applied.command() instanceof Command.RecordDeparture recorded) {
                    depart(recorded.departure(), board, effects);
                }
            }
            case ReplicationEvent.StateReplaced replaced -> {
                if (replaced.group() == CONTROL_GROUP) {
                    for (Departure departure : board.configuration().state().departures()) {
                        depart(departure, board, effects);
                    }
                }
            }
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.ProposalDecided ignored -> {}
            case ReplicationEvent.ProposalFailed ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.LeadershipChanged ignored -> {}
        }
    }

    /**
     * Takes a server out of use that has told this daemon that it leaves. The others hear of it from the server itself,
     * or from its reports.
     */
    private static void onForward(ForwardEvent event, Board board, Effects effects) {
        if (event instanceof ForwardEvent.ServerNoticed noticed
                && noticed.notice().leaving()) {
            effects.count("registry.servers_said_leaving");
            depart(new Departure(noticed.server(), noticed.startEpochMillis(), false), board, effects);
        }
    }

    private static void depart(Departure departure, Board board, Effects effects) {
        if (board.registry().depart(departure)) {
            effects.log(
                    "server_departed",
                    "server",
                    departure.server(),
                    "start",
                    departure.startEpochMillis(),
                    "deregistered",
                    departure.deregistered());
        }
    }

    private void mergeReport(
            ServerReport report, Optional<HostId> relayedBy, Board board, long nowNanos, Effects effects) {
        RegistrySection section = board.registry();
        RegistrySection.Change change = section.merge(report, nowNanos);
        if (change == RegistrySection.Change.REFRESHED && relays && relayedBy.isEmpty()) {
            section.markRefreshed(report.server());
        } else if (change == RegistrySection.Change.MATERIAL) {
            ServerReport merged =
                    section.server(report.server()).map(KnownServer::report).orElse(report);
            effects.log(
                    "server_changed",
                    "server",
                    merged.server(),
                    "service",
                    merged.service(),
                    "zone",
                    merged.zone(),
                    "address",
                    merged.address(),
                    "phase",
                    merged.phase(),
                    "sequence",
                    merged.sequence(),
                    "server_version",
                    merged.version(),
                    "from",
                    relayedBy.map(HostId::value).orElse("server"));
            if (relays) {
                LinkedPeers.broadcastExcept(relayedBy, new PeerMessage.ServerReports(List.of(merged)), board, effects);
            }
        }
    }

    private void onPeer(PeerEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerConnected connected -> {
                if (relays) {
                    effects.add(new PeerEffect.SendToPeer(
                            connected.peer(),
                            new PeerMessage.ServerReports(board.registry().reports())));
                }
            }
            case PeerEvent.PeerDisconnected disconnected -> {}
            case PeerEvent.ContentProgressed progressed -> {}
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.ServerReports news) {
                    for (ServerReport report : news.reports()) {
                        mergeReport(report, Optional.of(received.peer()), board, nowNanos, effects);
                    }
                }
            }
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        RegistrySection section = board.registry();
        section.removeExpired(nowNanos, EXPIRY_NANOS);
        if (relays && refreshPeriod.startIfDue(nowNanos)) {
            List<ServerReport> refreshed = section.takeRefreshedReports();
            if (!refreshed.isEmpty()) {
                LinkedPeers.broadcast(new PeerMessage.ServerReports(refreshed), board, effects);
            }
        }
    }
}
