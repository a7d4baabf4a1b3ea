package org.plantainwharf.observation;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
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
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;

/**
 * Shares what daemons have seen of servers. An entry daemon sends what is new to one control daemon, which sends it what
 * others have seen; a control daemon passes on what its entry daemons sent, to the others of them and to the other control
 * daemons. What came from a control daemon goes to entry daemons only, so nothing circulates. Each message holds at most
 * {@link #MAXIMUM_OBSERVATIONS}, newest first. Runs on the control thread, before the forward controller.
 */
public final class ObservationController implements Controller {
    /**
     * Interval of messages. What is older than an engine takes for a few prompts says little of its queue, and machines are
     * slow for some hundred milliseconds.
     */
    static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Observations in one message: 32 of at most 18 B ten times a second are 5.8 KB/s. */
    static final int MAXIMUM_OBSERVATIONS = 32;

    /** Observations in the first message to a daemon, which knows nothing yet: all servers of a zone of the planned size. */
    static final int MAXIMUM_FIRST_OBSERVATIONS = 640;

    /** An entry daemon that has sent nothing for this time has turned to another control daemon. */
    private static final long SUBSCRIPTION_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** An entry daemon with nothing to send says at this interval that it still listens. */
    private static final long RENEWAL_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** What this daemon does with observations. */
    private sealed interface Role {
        /** Sees servers itself. */
        record Entry() implements Role {}

        /** Passes on what others see. */
        record Control() implements Role {}
    }

    private final Role role;
    private final PeriodicTimer period = PeriodicTimer.ofNanos(PERIOD_NANOS);
    private final MessageDating dating = MessageDating.create();
    private final Set<HostId> controlPeers = new HashSet<>();
    private final Map<HostId, Long> subscribedNanos = new LinkedHashMap<>();
    private final Set<HostId> newSubscribers = new HashSet<>();
    private final ObservationOutbox seenByEntries = ObservationOutbox.create();
    private final ObservationOutbox relayed = ObservationOutbox.create();
    private final ObservationOutbox forControlPeers = ObservationOutbox.create();
    private Optional<HostId> lastControl = Optional.empty();
    private long lastReportNanos;
    private long lastSentNanos;
    private long sequence;

    private ObservationController(Role role) {
        this.role = role;
    }

    /** Returns the controller of a daemon that sends requests to servers. */
    public static ObservationController ofEntryDaemon() {
        return new ObservationController(new Role.Entry());
    }

    /** Returns the controller of a daemon that passes on what entry daemons have seen. */
    public static ObservationController ofControlDaemon() {
        return new ObservationController(new Role.Control());
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerMessageReceived received -> onMessage(received, board, nowNanos, effects);
            case PeerEvent.PeerDisconnected disconnected -> forget(disconnected.peer());
            case PeerEvent ignored -> {}
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case ForwardEvent ignored -> {}
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

    private void forget(HostId peer) {
        controlPeers.remove(peer);
        subscribedNanos.remove(peer);
        newSubscribers.remove(peer);
        dating.forget(peer);
    }

    private void onMessage(PeerEvent.PeerMessageReceived received, Board board, long nowNanos, Effects effects) {
        if (received.message() instanceof PeerMessage.KnownPeers) {
            // Only daemons that hold the control log send this message.
            controlPeers.add(received.peer());
        } else if (received.message() instanceof PeerMessage.ServerObservations message) {
            OptionalLong lateness = dating.latenessNanos(
                    received.peer(),
                    received.incarnation(),
                    message.sequence(),
                    message.echoedToken(),
                    board,
                    nowNanos);
            if (lateness.isEmpty()) {
                effects.count("observation.messages_unusable");
                return;
            }
            if (lateness.getAsLong() > 0) {
                effects.count("observation.messages_late");
            }
            boolean fromControl = role instanceof Role.Entry || controlPeers.contains(received.peer());
            if (!fromControl && subscribedNanos.put(received.peer(), nowNanos) == null) {
                newSubscribers.add(received.peer());
            }
            merge(message, fromControl, nowNanos - lateness.getAsLong(), board, nowNanos);
        }
    }

    private void merge(
            PeerMessage.ServerObservations message, boolean fromControl, long sentNanos, Board board, long nowNanos) {
        for (ServerObservation observation : message.observations()) {
            long seenNanos = sentNanos - TimeUnit.MILLISECONDS.toNanos(observation.ageMillis());
            if (board.observations().merge(observation, seenNanos, nowNanos) && role instanceof Role.Control) {
                (fromControl ? relayed : seenByEntries).add(observation.server(), seenNanos);
                if (!fromControl) {
                    forControlPeers.add(observation.server(), seenNanos);
                }
            }
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (!period.startIfDue(nowNanos)) {
            return;
        }
        board.observations().removeExpired(nowNanos);
        switch (role) {
            case Role.Entry entry -> reportSeen(board, nowNanos, effects);
            case Role.Control control -> passOn(board, nowNanos, effects);
        }
    }

    private void reportSeen(Board board, long nowNanos, Effects effects) {
        List<ServerObservation> seen = board.forward().seenSince(lastReportNanos, MAXIMUM_OBSERVATIONS, nowNanos);
        lastReportNanos = nowNanos;
        Optional<HostId> control = ControlPeer.of(board);
        boolean changed = !control.equals(lastControl);
        lastControl = control;
        board.observations().setPeers(List.of(), control.stream().toList());
        if (control.isPresent() && (changed || !seen.isEmpty() || nowNanos - lastSentNanos >= RENEWAL_NANOS)) {
            lastSentNanos = nowNanos;
            send(control.get(), seen, board, effects);
        }
    }

    private void passOn(Board board, long nowNanos, Effects effects) {
        subscribedNanos.values().removeIf(sentNanos -> nowNanos - sentNanos >= SUBSCRIPTION_NANOS);
        newSubscribers.retainAll(subscribedNanos.keySet());
        List<ServerObservation> news = seenByEntries.take(MAXIMUM_OBSERVATIONS, board.observations(), nowNanos);
        List<ServerObservation> others =
                relayed.take(MAXIMUM_OBSERVATIONS - news.size(), board.observations(), nowNanos);
        List<ServerObservation> forEntries =
                Stream.concat(news.stream(), others.stream()).toList();
        for (HostId subscriber : subscribedNanos.keySet()) {
            if (newSubscribers.remove(subscriber)) {
                send(subscriber, board.observations().newest(MAXIMUM_FIRST_OBSERVATIONS, nowNanos), board, effects);
            } else if (!forEntries.isEmpty()) {
                send(subscriber, forEntries, board, effects);
            }
        }
        List<ServerObservation> forPeers = forControlPeers.take(MAXIMUM_OBSERVATIONS, board.observations(), nowNanos);
        List<HostId> peers = board.membership().members().stream()
                .filter(member -> member.linked() && controlPeers.contains(member.host()))
                .map(Member::host)
                .toList();
        board.observations().setPeers(List.copyOf(subscribedNanos.keySet()), peers);
        if (!forPeers.isEmpty()) {
            peers.forEach(peer -> send(peer, forPeers, board, effects));
        }
    }

    private void send(HostId peer, List<ServerObservation> observations, Board board, Effects effects) {
        sequence++;
        long echoedToken = board.membership().newestReceivedToken(peer);
        effects.add(new PeerEffect.SendToPeer(
                peer, new PeerMessage.ServerObservations(sequence, echoedToken, observations)));
    }
}
