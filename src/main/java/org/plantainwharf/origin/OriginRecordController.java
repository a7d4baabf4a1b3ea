package org.plantainwharf.origin;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

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
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;

/**
 * Records where the streams of this entry daemon began, and passes the records on to control daemons while there is more
 * than one possible origin. Must come after the consensus, document and forward controllers; the last tells the origin.
 * Runs on the control thread. An entry daemon links with control daemons only.
 */
public final class OriginRecordController implements Controller {
    /** A record at three daemons outlives two of them; more copies cost more than the rest of the control messages. */
    private static final int COPIES = 3;

    /** A record has at most 500 bytes, of characters of three bytes each, and a frame 64 KiB. */
    static final int MAXIMUM_RECORDS_PER_MESSAGE = 100;

    private static final long EXPIRY_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final PeriodicTimer expiry = PeriodicTimer.ofNanos(EXPIRY_PERIOD_NANOS);
    private StreamRoutes routes = StreamRoutes.of(Optional.empty());
    private long documentVersion = Long.MIN_VALUE;

    private OriginRecordController() {}

    /** Returns the controller of an entry daemon. */
    public static OriginRecordController create() {
        return new OriginRecordController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.StreamBegan began -> onBegan(began.ticket(), board, nowNanos, effects);
            case ForwardEvent.OriginDoubted doubted -> onDoubted(doubted, board, nowNanos, effects);
            case ForwardEvent ignored -> {}
            case PeerEvent.PeerConnected connected ->
                sendRecords(
                        connected.peer()::equals, Optional.of(board.origins().recordedServices()), board, effects);
            case PeerEvent ignored -> {}
            case ReplicationEvent replication -> updateRecordedServices(board, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case RegistryEvent ignored -> {}
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

    private static void onBegan(long ticket, Board board, long nowNanos, Effects effects) {
        Optional<ForwardCall> found = board.forward().call(ticket);
        if (found.isEmpty() || !found.get().route().mayResumeStream()) {
            return;
        }
        ForwardCall call = found.get();
        String key = OriginKey.of(call.firstAttempt());
        Optional<StreamOrigin> origin = call.origin();
        if (!OriginKey.isValid(key) || origin.isEmpty()) {
            effects.count("origin.records_impossible");
            return;
        }
        board.origins().keep(key, origin.get(), nowNanos, effects);
        if (board.origins().recordedServices().contains(origin.get().service())) {
            PeerMessage message = new PeerMessage.StreamOrigins(Map.of(key, origin.get()));
            for (HostId peer : keepers(key, board)) {
                effects.add(new PeerEffect.SendToPeer(peer, message));
                effects.count("origin.records_sent");
            }
        }
    }

    /**
     * Withdraws a record. The control daemons keep it as a doubtful one, since without a record a leader that lists one
     * version only would tell that version. All of them get it: one that kept the record before may be no keeper now.
     */
    private static void onDoubted(ForwardEvent.OriginDoubted doubted, Board board, long nowNanos, Effects effects) {
        String key = OriginKey.of(doubted.firstAttempt());
        if (!OriginKey.isValid(key)) {
            return;
        }
        StreamOrigin doubtful = doubted.origin().asDoubtful();
        effects.count("origin.records_withdrawn");
        board.origins().keep(key, doubtful, nowNanos, effects);
        PeerMessage message = new PeerMessage.StreamOrigins(Map.of(key, doubtful));
        for (HostId peer : receivers(key, doubtful, board)) {
            effects.add(new PeerEffect.SendToPeer(peer, message));
        }
    }

    private static List<HostId> receivers(String key, StreamOrigin origin, Board board) {
        return origin.doubtful()
                ? board.membership().members().stream()
                        .filter(Member::linked)
                        .map(Member::host)
                        .toList()
                : keepers(key, board);
    }

    /** Returns the linked control daemons that keep a record, in different zones if possible. */
    private static List<HostId> keepers(String key, Board board) {
        List<Member> ordered = board.membership().members().stream()
                .filter(Member::linked)
                .sorted(Comparator.comparingLong(member -> weight(key, member.host())))
                .toList();
        Set<HostId> keepers = new HashSet<>();
        Set<String> zones = new HashSet<>();
        for (Member member : ordered) {
            if (keepers.size() < COPIES && zones.add(member.zone().value())) {
                keepers.add(member.host());
            }
        }
        for (Member member : ordered) {
            if (keepers.size() < COPIES) {
                keepers.add(member.host());
            }
        }
        return List.copyOf(keepers);
    }

    /** Returns the weight of rendezvous hashing: the keepers of few records change when a daemon comes or goes. */
    private static long weight(String key, HostId host) {
        long mixed = ((long) key.hashCode() << 32) ^ host.value().hashCode();
        mixed = (mixed ^ mixed >>> 33) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ mixed >>> 33) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ mixed >>> 33;
    }

    /** Sends the records of services whose streams can now have begun at more than one version or service. */
    private void updateRecordedServices(Board board, Effects effects) {
        boolean routesChanged = false;
        if (board.documents().version() != documentVersion) {
            documentVersion = board.documents().version();
            StreamRoutes current = StreamRoutes.of(board.documents().document());
            routesChanged = !current.equals(routes);
            routes = current;
        }
        Set<ServiceName> recorded = board.origins().recordedServices();
        Set<ServiceName> several =
                routes.servicesOfSeveralOrigins(board.configuration().state());
        if (!routesChanged && several.equals(recorded)) {
            return;
        }
        Set<ServiceName> added = new HashSet<>(several);
        added.removeAll(recorded);
        Optional<Set<ServiceName>> services = routesChanged ? Optional.empty() : Optional.of(added);
        recorded.clear();
        recorded.addAll(several);
        sendRecords(peer -> true, services, board, effects);
    }

    /** Sends the control daemons that are meant the records that they should keep; empty services mean all. */
    private static void sendRecords(
            Predicate<HostId> isMeant, Optional<Set<ServiceName>> services, Board board, Effects effects) {
        Map<HostId, Map<String, StreamOrigin>> parts = new LinkedHashMap<>();
        board.origins().records().forEach((key, origin) -> {
            if (!origin.doubtful() && services.isPresent() && !services.get().contains(origin.service())) {
                return;
            }
            for (HostId peer : receivers(key, origin, board)) {
                if (isMeant.test(peer)) {
                    Map<String, StreamOrigin> part = parts.computeIfAbsent(peer, host -> new HashMap<>());
                    part.put(key, origin);
                    if (part.size() == MAXIMUM_RECORDS_PER_MESSAGE) {
                        send(peer, part, effects);
                        parts.remove(peer);
                    }
                }
            }
        });
        parts.forEach((peer, part) -> send(peer, part, effects));
    }

    private static void send(HostId peer, Map<String, StreamOrigin> part, Effects effects) {
        effects.add(new PeerEffect.SendToPeer(peer, new PeerMessage.StreamOrigins(part)));
        effects.add(new CountEffect("origin.records_sent", part.size()));
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (board.documents().version() != documentVersion) {
            updateRecordedServices(board, effects);
        }
        if (expiry.startIfDue(nowNanos)) {
            board.origins().records().removeExpired(nowNanos, StreamRoutes.retentionNanos(board));
        }
    }
}
