package org.plantainwharf.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.effect.PeerEffect;
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
import org.plantainwharf.forward.ForwardCall;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.LinkedPeers;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.KnownServer;

/**
 * Finds out whether this entry daemon reaches the servers of each service, and learns from control daemons which entry
 * daemons would serve its requests while it does not. Opens connections to servers to find out, but only after a failure or
 * in a silence of the whole service. Runs on the control thread, before the forward controller.
 */
public final class ReachController implements Controller {
    /** Time without an answer of any server of a service after which a connection is opened to one of them. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** A connection that takes longer to open counts as failed. */
    private static final long CHECK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Interval of checks of a service that is not reached. */
    private static final long RETRY_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Interval at which control daemons are told again which services are not reached. */
    private static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final String ownAddress;
    private final Map<ServerId, Long> checksSentNanos = new HashMap<>();
    private final Map<ServiceName, PeriodicTimer> retryPeriods = new HashMap<>();
    private final PeriodicTimer renewal = PeriodicTimer.ofNanos(RENEWAL_NANOS);

    private ReachController(String ownAddress) {
        this.ownAddress = ownAddress;
    }

    /**
     * Returns a controller.
     *
     * @param ownAddress where callers and other entry daemons connect to this daemon, as IP address and port
     */
    public static ReachController create(String ownAddress) {
        return new ReachController(ownAddress);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent forward -> onForward(forward, board, nowNanos, effects);
            case PeerEvent peer -> onPeer(peer, board, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void onForward(ForwardEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.ForwardBegan began ->
                board.forward().call(began.ticket()).ifPresent(call -> {
                    if (call.state() instanceof ForwardCall.State.Running) {
                        board.handovers().service(call.service()).recordAnswered(nowNanos);
                    }
                });
            case ForwardEvent.ForwardEnded ended ->
                board.forward().call(ended.ticket()).ifPresent(call -> onEnded(call, ended, board, nowNanos, effects));
            case ForwardEvent.ConnectionChecked checked -> {
                checksSentNanos.remove(checked.server());
                board.registry().server(checked.server()).ifPresent(server -> {
                    if (checked.opened()) {
                        board.handovers().service(server.report().service()).recordConnected();
                    } else {
                        recordFailed(server, board, nowNanos, effects);
                    }
                    update(server.report().service(), board, nowNanos, effects);
                });
            }
            case ForwardEvent.ForwardArrived arrived -> {}
            case ForwardEvent.ForwardLeft left -> {}
            case ForwardEvent.ServerNoticed noticed -> {}
            case ForwardEvent.ServerUnreachable unreachable -> {}
            case ForwardEvent.StreamBegan streamBegan -> {}
            case ForwardEvent.OriginDoubted doubted -> {}
            case ForwardEvent.OriginRequested requested -> {}
            case ForwardEvent.OriginDecided decided -> {}
        }
    }

    private void onEnded(
            ForwardCall call, ForwardEvent.ForwardEnded ended, Board board, long nowNanos, Effects effects) {
        switch (call.state()) {
            case ForwardCall.State.Running running -> {
                if (running.attempt() == ended.attempt()) {
                    recordEnd(call, running, ended.outcome(), board, nowNanos, effects);
                }
            }
            case ForwardCall.State.HandedOver handedOver -> {
                if (handedOver.attempt() == ended.attempt() && !isHelpful(ended.outcome())) {
                    board.handovers().avoid(handedOver.helper(), nowNanos);
                }
            }
            case ForwardCall.State.Cancelling cancelling -> {}
            case ForwardCall.State.CancellingHandover cancelling -> {}
            case ForwardCall.State.Waiting waiting -> {}
            case ForwardCall.State.AwaitingOrigin awaitingOrigin -> {}
        }
    }

    private static boolean isHelpful(ForwardOutcome outcome) {
        return switch (outcome) {
            case ForwardOutcome.Completed completed -> true;
            case ForwardOutcome.Failed failed -> true;
            case ForwardOutcome.Withheld withheld -> true;
            case ForwardOutcome.Cancelled cancelled -> true;
            case ForwardOutcome.Refused refused -> false;
            case ForwardOutcome.NotSent notSent -> false;
            case ForwardOutcome.Broken broken -> false;
        };
    }

    private void recordEnd(
            ForwardCall call,
            ForwardCall.State.Running running,
            ForwardOutcome outcome,
            Board board,
            long nowNanos,
            Effects effects) {
        switch (outcome) {
            case ForwardOutcome.NotSent notSent ->
                board.registry().server(running.server()).ifPresent(server -> {
                    recordFailed(server, board, nowNanos, effects);
                    update(call.service(), board, nowNanos, effects);
                });
            case ForwardOutcome.Broken broken -> {
                if (broken.connectionLost()) {
                    check(running.server(), board, nowNanos, effects);
                }
            }
            case ForwardOutcome.Completed completed ->
                board.handovers().service(call.service()).recordAnswered(nowNanos);
            case ForwardOutcome.Failed failed ->
                board.handovers().service(call.service()).recordAnswered(nowNanos);
            case ForwardOutcome.Refused refused ->
                board.handovers().service(call.service()).recordAnswered(nowNanos);
            case ForwardOutcome.Withheld withheld -> {}
            case ForwardOutcome.Cancelled cancelled -> {}
        }
    }

    /** Records a connection that failed, and tries others, to find out whether it is this daemon that is cut off. */
    private void recordFailed(KnownServer server, Board board, long nowNanos, Effects effects) {
        ServiceName service = server.report().service();
        ServiceReach reach = board.handovers().service(service);
        boolean first = !reach.hasFailures();
        reach.recordFailed(server.report().server(), nowNanos);
        if (first) {
            checkSome(service, ServiceReach.FAILED_SERVERS - 1, board, nowNanos, effects);
        }
    }

    /** Checks servers that are drawn at random, first those whose connections have not failed yet. */
    private void checkSome(ServiceName service, int count, Board board, long nowNanos, Effects effects) {
        ServiceReach reach = board.handovers().service(service);
        List<KnownServer> servers = readyServers(service, board);
        servers.removeIf(server -> checksSentNanos.containsKey(server.report().server()));
        List<KnownServer> untried = new ArrayList<>(servers);
        untried.removeIf(server -> reach.hasFailed(server.report().server()));
        List<KnownServer> drawable = untried.isEmpty() ? servers : untried;
        for (int index = 0; index < count && !drawable.isEmpty(); index++) {
            KnownServer drawn = drawable.remove(board.random().nextInt(drawable.size()));
            check(drawn.report().server(), board, nowNanos, effects);
        }
    }

    private void check(ServerId id, Board board, long nowNanos, Effects effects) {
        board.registry().server(id).filter(KnownServer::ready).ifPresent(server -> {
            if (checksSentNanos.putIfAbsent(id, nowNanos) == null) {
                effects.count("handover.connections_checked");
                effects.add(ForwardEffect.CheckConnection.of(id, server.report().address()));
            }
        });
    }

    private static List<KnownServer> readyServers(ServiceName service, Board board) {
        return new ArrayList<>(board.registry().readyServers(service));
    }

    private void update(ServiceName service, Board board, long nowNanos, Effects effects) {
        ServiceReach reach = board.handovers().service(service);
        Reach before = reach.reach();
        if (before instanceof Reach.Open && !reach.hasFailures()) {
            return;
        }
        boolean changed = reach.update(
                readyServers(service, board).size(),
                id -> board.registry().server(id).orElse(null),
                nowNanos);
        if (changed) {
            effects.count("handover.reach_changes");
            effects.log("reach_changed", "service", service, "from", before, "to", reach.reach());
            report(board, effects);
        }
    }

    /** Tells all control daemons where callers connect to this daemon and which services it does not reach. */
    private void report(Board board, Effects effects) {
        Set<ServiceName> unreached = board.handovers().unreached();
        LinkedPeers.broadcast(new PeerMessage.ReachReport(ownAddress, unreached), board, effects);
        if (unreached.isEmpty()) {
            board.handovers().setHelpers(List.of());
        }
    }

    private void onPeer(PeerEvent event, Board board, Effects effects) {
        switch (event) {
            case PeerEvent.PeerConnected connected ->
                effects.add(new PeerEffect.SendToPeer(
                        connected.peer(),
                        new PeerMessage.ReachReport(
                                ownAddress, board.handovers().unreached())));
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.Helpers message
                        && !board.handovers().unreached().isEmpty()) {
                    board.handovers().setHelpers(message.addresses());
                }
            }
            case PeerEvent.PeerDisconnected disconnected -> {}
            case PeerEvent.ContentProgressed progressed -> {}
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        expireChecks(board, nowNanos, effects);
        checkSilentServices(board, nowNanos, effects);
        for (ServiceName service : List.copyOf(board.handovers().services().keySet())) {
            update(service, board, nowNanos, effects);
            checkAgain(service, board, nowNanos, effects);
        }
        if (renewal.startIfDue(nowNanos)) {
            forgetFormerServices(board);
            if (!board.handovers().unreached().isEmpty()) {
                report(board, effects);
            }
        }
    }

    /** Goes on checking until it is clear whether this daemon is cut off, and while it is. */
    private void checkAgain(ServiceName service, Board board, long nowNanos, Effects effects) {
        ServiceReach reach = board.handovers().service(service);
        boolean unclear = reach.hasFailures() || !(reach.reach() instanceof Reach.Open);
        if (unclear
                && retryPeriods
                        .computeIfAbsent(service, name -> PeriodicTimer.ofNanos(RETRY_PERIOD_NANOS))
                        .startIfDue(nowNanos)) {
            checkSome(service, 1, board, nowNanos, effects);
        }
    }

    private void forgetFormerServices(Board board) {
        board.documents().document().ifPresent(document -> {
            board.handovers().services().keySet().retainAll(document.services().keySet());
            retryPeriods.keySet().retainAll(document.services().keySet());
        });
    }

    private void expireChecks(Board board, long nowNanos, Effects effects) {
        for (Map.Entry<ServerId, Long> check : List.copyOf(checksSentNanos.entrySet())) {
            if (nowNanos - check.getValue() >= CHECK_TIMEOUT_NANOS) {
                checksSentNanos.remove(check.getKey());
                board.registry()
                        .server(check.getKey())
                        .ifPresent(server -> recordFailed(server, board, nowNanos, effects));
            }
        }
    }

    /** Checks services of which no server has answered although requests have waited there for long. */
    private void checkSilentServices(Board board, long nowNanos, Effects effects) {
        Map<ServiceName, ServerId> waiting = new HashMap<>();
        for (ForwardCall call : board.forward().calls()) {
            if (call.state() instanceof ForwardCall.State.Running running
                    && !running.answerStarted()
                    && nowNanos - running.sentNanos() >= SILENCE_NANOS) {
                waiting.putIfAbsent(call.service(), running.server());
            }
        }
        waiting.forEach((service, server) -> {
            ServiceReach reach = board.handovers().service(service);
            if (!reach.hasFailures() && reach.isSilentSince(nowNanos - SILENCE_NANOS)) {
                check(server, board, nowNanos, effects);
            }
        });
    }
}
