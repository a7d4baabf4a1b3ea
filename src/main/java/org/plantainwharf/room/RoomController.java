package org.plantainwharf.room;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effects;
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
import org.plantainwharf.forward.PromptShape;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.LinkedPeers;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.KnownServer;

/**
 * Measures demand for room and what servers do, and shares room over all daemons: entry daemons report what they are asked
 * for to every control daemon, and the leader answers with the shares of priorities and accounts. Runs before the forward
 * controller, on the control thread.
 */
public final class RoomController implements Controller {
    /** Validity of a grant; longer than a change of the leader, which takes about a second. */
    static final long GRANT_VALIDITY_MILLIS = 2_000;

    private static final int CONTROL_GROUP = 0;

    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Interval of reports and grants. */
    private static final long REPORT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final long LOG_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Largest number of accounts that a report lists for each service; bounds its size. */
    private static final int MAXIMUM_REPORTED_ACCOUNTS = 24;

    /** Largest number of services in a report, those that are asked for most; bounds its size. */
    private static final int MAXIMUM_REPORTED_SERVICES = 8;

    private final PeriodicTimer period = PeriodicTimer.ofNanos(PERIOD_NANOS);
    private final PeriodicTimer reportPeriod = PeriodicTimer.ofNanos(REPORT_PERIOD_NANOS);
    private final PeriodicTimer logPeriod = PeriodicTimer.ofNanos(LOG_PERIOD_NANOS);
    private final boolean active;
    private long sequence;

    private RoomController(boolean active) {
        this.active = active;
    }

    /** Returns a controller that has measured nothing yet. */
    public static RoomController create() {
        return new RoomController(true);
    }

    /** Returns a controller that does nothing if the settings do not ask for it, so that room never counts as short. */
    public static RoomController ofSettings(boolean sharesRoom) {
        return new RoomController(sharesRoom);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        if (!active) {
            return;
        }
        board.room().setShared();
        switch (event) {
            case ForwardEvent.ForwardBegan began ->
                board.forward().call(began.ticket()).ifPresent(call -> onBegan(call, began.attempt(), board, nowNanos));
            case ForwardEvent.ForwardEnded ended ->
                board.forward().call(ended.ticket()).ifPresent(call -> onEnded(call, ended, board, nowNanos));
            case ForwardEvent ignored -> {}
            case PeerEvent.PeerMessageReceived received -> onPeerMessage(received, board, nowNanos);
            case PeerEvent ignored -> {}
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

    /** Records how much longer than its own work a request took to its answer. */
    private static void onBegan(ForwardCall call, int attempt, Board board, long nowNanos) {
        if (call.state() instanceof ForwardCall.State.Running running && running.attempt() == attempt) {
            ServiceRoom room = board.room().service(call.service());
            double millis = (nowNanos - running.sentNanos()) / 1e6;
            double ownMillis = call.head().prompt().isPresent()
                    ? board.forward().engineProfile(call.service()).expectedMillis(running.uncachedTokens())
                    : room.workMillis();
            room.recordWait(
                    call.effectivePriority(),
                    Math.max(0, millis - ownMillis),
                    call.route().targetLatencyMillis());
        }
    }

    private static void onEnded(ForwardCall call, ForwardEvent.ForwardEnded ended, Board board, long nowNanos) {
        if (call.state() instanceof ForwardCall.State.Running running
                && running.attempt() == ended.attempt()
                && ended.outcome() instanceof ForwardOutcome.Completed) {
            ServiceRoom room = board.room().service(call.service());
            if (call.head().prompt().isEmpty()) {
                room.recordWork((nowNanos - running.sentNanos()) / 1e6, room.isShort());
            } else if (running.answerStarted()) {
                room.recordStream(
                        (nowNanos - running.answerStartedNanos().getAsLong()) / 1e6,
                        call.head().prompt().map(PromptShape::outputTokens).orElse(0L));
            }
        }
    }

    private static void onPeerMessage(PeerEvent.PeerMessageReceived received, Board board, long nowNanos) {
        if (received.message() instanceof PeerMessage.RoomReport report) {
            board.room()
                    .aggregator()
                    .addReport(received.peer(), received.incarnation(), report.sequence(), report.demands(), nowNanos);
        } else if (received.message() instanceof PeerMessage.RoomGrant grant) {
            long validNanos = TimeUnit.MILLISECONDS.toNanos(grant.validMillis());
            // A grant that echoes no heartbeat of this start of the process is not used: its age is not known.
            board.membership()
                    .heartbeatSentNanos(received.peer(), grant.echoedToken())
                    .ifPresent(sentNanos -> grant.shares()
                            .forEach((service, share) ->
                                    board.room().service(service).applyGrant(share, sentNanos + validNanos)));
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (period.startIfDue(nowNanos)) {
            endPeriod(board, nowNanos, effects);
        }
        if (logPeriod.startIfDue(nowNanos)) {
            board.room().services().forEach((service, room) -> logShortRoom(service, room, nowNanos, effects));
        }
        if (reportPeriod.startIfDue(nowNanos)) {
            if (board.consensus().group(CONTROL_GROUP).leading()) {
                sendGrants(board, nowNanos, effects);
            } else if (!board.consensus().group(CONTROL_GROUP).voting()) {
                report(board, effects);
            }
        }
    }

    private static void endPeriod(Board board, long nowNanos, Effects effects) {
        Map<ServiceName, Double> serverMillis = new HashMap<>();
        for (KnownServer server : board.registry().servers()) {
            if (server.ready() && !board.forward().avoids(server.report().server(), nowNanos)) {
                ServiceName service = server.report().service();
                boolean hasEngine = board.documents().document().stream()
                        .anyMatch(document -> document.services().get(service) != null
                                && document.services().get(service).engine().isPresent());
                double places = hasEngine ? 1 : Math.max(1, server.report().slots());
                serverMillis.merge(service, 1_000 * places, Double::sum);
            }
        }
        board.room().services().forEach((service, room) -> {
            boolean wasShort = room.isShort();
            room.endPeriod(
                    PERIOD_NANOS / 1e9,
                    serverMillis.getOrDefault(service, 0.0),
                    board.allowances().evenShare(),
                    nowNanos);
            int expired = room.expirePlaces(nowNanos);
            if (expired > 0) {
                effects.add(new CountEffect("room.places_expired", expired));
            }
            if (room.isShort() != wasShort) {
                effects.count(room.isShort() ? "room.shortages_begun" : "room.shortages_ended");
                effects.log(
                        room.isShort() ? "room_shortage_began" : "room_shortage_ended",
                        "service",
                        service,
                        "pressure",
                        room.share(nowNanos).pressure(),
                        "granted",
                        room.isGranted(nowNanos));
            }
        });
    }

    private static void logShortRoom(ServiceName service, ServiceRoom room, long nowNanos, Effects effects) {
        if (!room.isShort()) {
            return;
        }
        RoomShare share = room.share(nowNanos);
        Map<Integer, Double> fractions = new TreeMap<>();
        share.priorities().forEach((priority, part) -> fractions.put(priority, part.admittedFraction()));
        effects.log(
                "room_short",
                "service",
                service,
                "pressure",
                share.pressure(),
                "admitted_fractions",
                fractions,
                "granted",
                room.isGranted(nowNanos),
                "efficiencies",
                room.efficiencies(),
                "kept_places",
                room.keptPlaces());
    }

    private void report(Board board, Effects effects) {
        Map<ServiceName, RoomDemand> demands = new HashMap<>();
        board.room().services().forEach((service, room) -> {
            RoomDemand demand = new RoomDemand(room.demands(MAXIMUM_REPORTED_ACCOUNTS));
            if (demand.askedPerSecond() > 0) {
                demands.put(service, demand);
            }
        });
        Map<ServiceName, RoomDemand> largest = new HashMap<>();
        demands.entrySet().stream()
                .sorted(Comparator.comparingDouble((Map.Entry<ServiceName, RoomDemand> demand) ->
                        -demand.getValue().askedPerSecond()))
                .limit(MAXIMUM_REPORTED_SERVICES)
                .forEach(demand -> largest.put(demand.getKey(), demand.getValue()));
        if (!largest.isEmpty()) {
            sequence++;
            LinkedPeers.broadcast(new PeerMessage.RoomReport(sequence, largest), board, effects);
        }
    }

    private static void sendGrants(Board board, long nowNanos, Effects effects) {
        Map<ServiceName, RoomShare> shares = board.room().aggregator().shares(nowNanos);
        for (HostId host : board.room().aggregator().hosts(nowNanos)) {
            effects.add(new PeerEffect.SendToPeer(
                    host,
                    new PeerMessage.RoomGrant(
                            board.membership().newestReceivedToken(host), GRANT_VALIDITY_MILLIS, shares)));
        }
    }
}
