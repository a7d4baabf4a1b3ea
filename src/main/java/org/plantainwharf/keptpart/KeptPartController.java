package org.plantainwharf.keptpart;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

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
import org.plantainwharf.forward.ForwardCall;
import org.plantainwharf.forward.PromptShape;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.observation.Digest;
import org.plantainwharf.observation.MessageDating;
import org.plantainwharf.observation.ServerStart;

/**
 * Learns which servers keep which parts of prompts from the requests of this daemon, and shares it on the ways of the
 * observations. The last part of a prompt belongs to one request or session and is not shared. Each message holds at most
 * {@link #MAXIMUM_PARTS}. Runs on the control thread, after the observation controller and before the forward controller.
 */
public final class KeptPartController implements Controller {
    /** Interval of messages. */
    static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Parts in one message: 20 of at most 22 B five times a second are 2.2 KB/s. */
    static final int MAXIMUM_PARTS = 20;

    /** Time for which no daemon shares a part of a server again; servers keep parts for several times as long. */
    private static final long RENEWAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Shorter parts cost less to process again than to share. */
    private static final long MINIMUM_SHARED_TOKENS = 128;

    /** Time after which a part is forgotten that is not used again; engines replace their memory several times in it. */
    private static final long MAXIMUM_AGE_NANOS = TimeUnit.SECONDS.toNanos(120);

    private static final long REMOVAL_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final PeriodicTimer period = PeriodicTimer.ofNanos(PERIOD_NANOS);
    private final PeriodicTimer removalPeriod = PeriodicTimer.ofNanos(REMOVAL_PERIOD_NANOS);
    private final MessageDating dating = MessageDating.create();
    private final Map<Key, Use> forEntries = new LinkedHashMap<>();
    private final Map<Key, Use> forControls = new LinkedHashMap<>();
    private final Map<Key, Long> sharedNanos = new HashMap<>();
    private long sequence;

    private record Key(ServerStart server, long part) {}

    private record Use(long tokens, long usedNanos) {}

    private KeptPartController() {}

    public static KeptPartController create() {
        return new KeptPartController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.ForwardBegan began -> recordUse(began.ticket(), board, nowNanos);
            case ForwardEvent ignored -> {}
            case PeerEvent.PeerMessageReceived received -> onMessage(received, board, nowNanos);
            case PeerEvent.PeerDisconnected disconnected -> dating.forget(disconnected.peer());
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

    /** Records the parts of a prompt that a server has processed. */
    private void recordUse(long ticket, Board board, long nowNanos) {
        board.forward().call(ticket).ifPresent(call -> {
            if (call.state() instanceof ForwardCall.State.Running running
                    && call.head().prompt().isPresent()) {
                ServerStart server = ServerStart.of(running.server(), running.startEpochMillis());
                List<PromptShape.Part> parts = call.head().prompt().get().parts();
                for (int index = 0; index < parts.size(); index++) {
                    PromptShape.Part part = parts.get(index);
                    long digest = Digest.of(part.id());
                    board.keptParts().recordUse(server, digest, nowNanos);
                    if (index < parts.size() - 1 && part.tokens() >= MINIMUM_SHARED_TOKENS) {
                        share(new Key(server, digest), new Use(part.tokens(), nowNanos), forControls, nowNanos);
                    }
                }
            }
        });
    }

    private void share(Key key, Use use, Map<Key, Use> outbox, long nowNanos) {
        Long last = sharedNanos.get(key);
        if (last == null || nowNanos - last >= RENEWAL_NANOS) {
            sharedNanos.put(key, nowNanos);
            outbox.put(key, use);
        }
    }

    private void onMessage(PeerEvent.PeerMessageReceived received, Board board, long nowNanos) {
        if (!(received.message() instanceof PeerMessage.KeptParts message)) {
            return;
        }
        OptionalLong lateness = dating.latenessNanos(
                received.peer(), received.incarnation(), message.sequence(), message.echoedToken(), board, nowNanos);
        if (lateness.isEmpty()) {
            return;
        }
        boolean fromEntry = board.observations().subscribers().contains(received.peer());
        for (KeptPart part : message.parts()) {
            long usedNanos = nowNanos - lateness.getAsLong() - TimeUnit.MILLISECONDS.toNanos(part.ageMillis());
            Key key = new Key(part.server(), part.part());
            sharedNanos.put(key, nowNanos);
            long later = board.keptParts().recordUse(part.server(), part.part(), usedNanos);
            if (later > 0 && !board.observations().subscribers().isEmpty()) {
                Use use = new Use(part.tokens(), usedNanos);
                forEntries.put(key, use);
                if (fromEntry) {
                    forControls.put(key, use);
                }
            }
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (removalPeriod.startIfDue(nowNanos)) {
            // A control daemon chooses no servers; it needs only what it must not pass on again.
            long maximumAgeNanos = board.observations().subscribers().isEmpty() ? MAXIMUM_AGE_NANOS : RENEWAL_NANOS;
            board.keptParts().removeUnusedSince(usedNanos -> nowNanos - usedNanos >= maximumAgeNanos);
            sharedNanos.values().removeIf(last -> nowNanos - last >= RENEWAL_NANOS);
        }
        if (!period.startIfDue(nowNanos)) {
            return;
        }
        send(board.observations().subscribers(), take(forEntries, nowNanos), board, effects);
        send(board.observations().controls(), take(forControls, nowNanos), board, effects);
    }

    /** Takes the first parts, and those that have waited too long to be of use. */
    private static List<KeptPart> take(Map<Key, Use> outbox, long nowNanos) {
        List<KeptPart> taken = new ArrayList<>();
        Iterator<Map.Entry<Key, Use>> uses = outbox.entrySet().iterator();
        while (uses.hasNext() && taken.size() < MAXIMUM_PARTS) {
            Map.Entry<Key, Use> use = uses.next();
            long ageNanos = nowNanos - use.getValue().usedNanos();
            if (ageNanos < RENEWAL_NANOS) {
                taken.add(new KeptPart(
                        use.getKey().server(),
                        use.getKey().part(),
                        use.getValue().tokens(),
                        (int) (ageNanos / 1_000_000)));
            }
            uses.remove();
        }
        return taken;
    }

    private void send(Iterable<HostId> peers, List<KeptPart> parts, Board board, Effects effects) {
        if (parts.isEmpty()) {
            return;
        }
        for (HostId peer : peers) {
            sequence++;
            effects.add(new PeerEffect.SendToPeer(
                    peer, new PeerMessage.KeptParts(sequence, board.membership().newestReceivedToken(peer), parts)));
        }
    }
}
