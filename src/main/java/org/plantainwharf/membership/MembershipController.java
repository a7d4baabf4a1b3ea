package org.plantainwharf.membership;

import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.drain.DrainPhase;
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
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.settings.Settings;

/**
 * Tracks the other daemons: sends heartbeats over every link, closes links that are silent, and records the state that
 * each daemon reports. A member counts as linked from its connection until it disconnects or its link is closed as
 * silent, whichever comes first. Used by the control thread only.
 */
public final class MembershipController implements Controller {
    static final long HEARTBEAT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Ticks occur every 50 ms. A gap of ten ticks means that this process was paused. Heartbeats of the others then
     * wait unread, so their silence must not close links.
     */
    static final long PAUSE_THRESHOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The first token is below 2^40, which keeps the encoding of tokens short. */
    private static final long FIRST_TOKEN_BOUND = 1L << 40;

    private MembershipController() {}

    public static MembershipController create() {
        return new MembershipController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case PeerEvent peer -> onPeer(peer, board, nowNanos);
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private static void onPeer(PeerEvent event, Board board, long nowNanos) {
        MembershipSection section = board.membership();
        switch (event) {
            case PeerEvent.PeerConnected connected -> {
                section.put(new Member(
                        connected.peer(), connected.zone(), connected.incarnation(), true, nowNanos, false, 0));
                section.recordHeartbeatReceived(connected.peer(), 0);
            }
            case PeerEvent.PeerDisconnected disconnected ->
                section.member(disconnected.peer())
                        .filter(member -> member.linked() && member.incarnation() == disconnected.incarnation())
                        .ifPresent(member -> markUnlinked(section, member));
            case PeerEvent.ContentProgressed progressed ->
                section.member(progressed.peer())
                        .filter(member -> member.linked() && member.incarnation() == progressed.incarnation())
                        .ifPresent(member -> recordHeard(section, member, nowNanos));
            case PeerEvent.PeerMessageReceived received ->
                section.member(received.peer())
                        .filter(member -> member.linked() && member.incarnation() == received.incarnation())
                        .ifPresent(member -> onMessage(section, member, received.message(), nowNanos));
        }
    }

    private static void onMessage(MembershipSection section, Member member, PeerMessage message, long nowNanos) {
        boolean draining = member.draining();
        long configurationVersion = member.configurationVersion();
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            draining = heartbeat.draining();
            configurationVersion = heartbeat.configurationVersion();
            section.heartbeatSentNanos(member.host(), heartbeat.echoedToken())
                    .ifPresent(sentNanos -> section.recordHeartbeatEchoed(member.host(), sentNanos));
            section.recordHeartbeatReceived(
                    member.host(), Math.max(heartbeat.token(), section.newestReceivedToken(member.host())));
        }
        section.put(new Member(
                member.host(), member.zone(), member.incarnation(), true, nowNanos, draining, configurationVersion));
    }

    private static void recordHeard(MembershipSection section, Member member, long nowNanos) {
        section.put(new Member(
                member.host(),
                member.zone(),
                member.incarnation(),
                true,
                nowNanos,
                member.draining(),
                member.configurationVersion()));
    }

    private static void markUnlinked(MembershipSection section, Member member) {
        section.put(new Member(
                member.host(),
                member.zone(),
                member.incarnation(),
                false,
                member.lastHeardNanos(),
                member.draining(),
                member.configurationVersion()));
        section.recordHeartbeatReceived(member.host(), 0);
    }

    private static void onTick(Board board, long nowNanos, Effects effects) {
        MembershipSection section = board.membership();
        initialize(board, nowNanos);
        if (nowNanos - section.lastTickNanos() >= PAUSE_THRESHOLD_NANOS) {
            section.setResumedNanos(nowNanos);
            effects.count("membership.pauses");
        }
        section.setLastTickNanos(nowNanos);
        closeSilentLinks(board, nowNanos, effects);
        if (nowNanos - section.nextHeartbeatNanos() >= 0) {
            section.setNextHeartbeatNanos(nowNanos + HEARTBEAT_PERIOD_NANOS);
            sendHeartbeats(board, nowNanos, effects);
        }
    }

    private static void initialize(Board board, long nowNanos) {
        MembershipSection section = board.membership();
        if (section.initialized()) {
            return;
        }
        section.initialize(1 + board.random().nextLong(FIRST_TOKEN_BOUND), nowNanos);
        for (Settings.HostEntry entry : board.settings().hosts()) {
            if (!entry.host().equals(section.self())
                    && section.member(entry.host()).isEmpty()) {
                section.put(new Member(entry.host(), entry.zone(), 0, false, nowNanos, false, 0));
            }
        }
    }

    private static void closeSilentLinks(Board board, long nowNanos, Effects effects) {
        MembershipSection section = board.membership();
        long limitNanos =
                TimeUnit.MILLISECONDS.toNanos(board.settings().timings().linkSilenceMillis());
        if (nowNanos - section.resumedNanos() < limitNanos) {
            return;
        }
        for (Member member : section.members().stream().toList()) {
            if (member.linked() && nowNanos - member.lastHeardNanos() >= limitNanos) {
                effects.add(new PeerEffect.CloseLink(member.host()));
                effects.count("membership.silent_links");
                markUnlinked(section, member);
            }
        }
    }

    private static void sendHeartbeats(Board board, long nowNanos, Effects effects) {
        MembershipSection section = board.membership();
        long token = section.allocateToken();
        boolean draining = !(board.drain().phase() instanceof DrainPhase.Serving);
        for (Member member : section.members()) {
            if (member.linked()) {
                HostId host = member.host();
                section.recordHeartbeatSent(host, token, nowNanos);
                effects.add(new PeerEffect.SendToPeer(
                        host,
                        new PeerMessage.Heartbeat(
                                token,
                                section.newestReceivedToken(host),
                                board.configuration().version(),
                                draining)));
            }
        }
    }
}
