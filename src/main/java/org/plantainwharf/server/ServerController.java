package org.plantainwharf.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.call.CallState;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
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
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServerLease;

/**
 * Keeps the registry of backend servers.
 *
 * <p>An announcement is a lease, and each host that hears of it counts its validity from an event of its own that
 * happened before the server made the announcement: the answer whose token the server returned, or the heartbeat whose
 * token a relaying host echoed. Clocks are therefore never compared, and neither a delay nor a frozen relay lengthens a
 * lease. After a server says that it is leaving, every host stops sending it new work when it hears so, or at the end
 * of the lease that the server's last valid announcement gave. A server that left stays so until a newer incarnation.
 * Used by the control thread only.
 */
public final class ServerController implements Controller {
    static final long RELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** One failed connection may be a restart in progress or a dropped packet; two in a row are worth a probe. */
    static final int CONNECT_FAILURES_BEFORE_PROBE = 2;

    /** Tokens travel through JSON, which holds whole numbers up to 2^53 exactly. */
    private static final long FIRST_TOKEN_BOUND = 1L << 52;

    private final LeaseStart leaseStart;

    private ServerController(LeaseStart leaseStart) {
        this.leaseStart = leaseStart;
    }

    /** Returns a controller. */
    public static ServerController create() {
        return new ServerController(LeaseStart.fromToken());
    }

    /** Returns a controller with another rule for the start of leases. For tests that show what the rule prevents. */
    static ServerController create(LeaseStart leaseStart) {
        return new ServerController(leaseStart);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case DocumentEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent server -> server(server, board, nowNanos, effects);
            case PeerEvent peer -> peer(peer, board, nowNanos, effects);
            case AttemptEvent attempt -> attempt(attempt, board, nowNanos, effects);
            case PlatformEvent platform -> platform(platform, board, nowNanos, effects);
            case TimerEvent.Tick tick -> tick(board, nowNanos, effects);
            case CallEvent ignored -> {}
            case StorageEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case OperatorEvent ignored -> {}
        }
    }

    private void server(ServerEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ServerEvent.ServerAnnounced announced -> announced(announced, board, nowNanos, effects);
            case ServerEvent.ProbeFinished probe -> probeFinished(probe, board, nowNanos, effects);
            case ServerEvent.CacheChanged ignored -> {}
            case ServerEvent.EngineOrderAnswered ignored -> {}
        }
    }

    private void announced(ServerEvent.ServerAnnounced event, Board board, long nowNanos, Effects effects) {
        Announcement announcement = event.announcement();
        ServerSection section = board.servers();
        ServerTrack track = section.track(announcement.server(), nowNanos);
        Optional<Long> issued = track.issuedNanos(event.returnedToken(), announcement.incarnation());
        Optional<Long> until = leaseStart.start(issued, nowNanos).map(start -> start + leaseNanos(board));
        if (until.isEmpty()) {
            effects.count(event.returnedToken() == 0 ? "servers.first_announcements" : "servers.unknown_tokens");
        }
        boolean told = merge(announcement, until, board, nowNanos, effects);
        // A reclaimed server may not know of its notice and go on to announce itself to hosts that missed it too.
        boolean leaving = section.server(announcement.server())
                .map(ServerEntry::announcement)
                .filter(newest -> newest.leaving() && newest.incarnation() == announcement.incarnation())
                .isPresent();
        if (told || leaving) {
            track.changed(section.nextChange());
        }
        if (leaving) {
            track.leaving(nowNanos);
        }
        long token = nextToken(board);
        track.issued(token, announcement.incarnation(), nowNanos);
        effects.add(new ServerEffect.AnswerAnnouncement(event.ticket(), token));
    }

    /** The first token is random, so that a token from before a restart of this host gives no lease. */
    private static long nextToken(Board board) {
        ServerSection section = board.servers();
        long last = section.lastToken();
        section.setLastToken(last == 0 ? 1 + board.random().nextLong(FIRST_TOKEN_BOUND) : last + 1);
        return section.lastToken();
    }

    private static long leaseNanos(Board board) {
        return TimeUnit.MILLISECONDS.toNanos(board.settings().timings().serverLeaseMillis());
    }

    /**
     * Takes a statement of a server, whichever way it came.
     *
     * @param until end of the lease that it gives, empty for none
     * @return whether it told something new
     */
    private static boolean merge(
            Announcement announcement, Optional<Long> until, Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        Optional<ServerEntry> known = section.server(announcement.server());
        if (known.isPresent()
                && announcement.incarnation() < known.get().announcement().incarnation()) {
            effects.count("servers.older_incarnations");
            return false;
        }
        section.track(announcement.server(), nowNanos).heard(nowNanos);
        if (known.isEmpty()) {
            section.put(ServerEntry.create(announcement));
        }
        ServerEntry entry =
                known.orElseGet(() -> section.server(announcement.server()).orElseThrow());
        if (announcement.incarnation() > entry.announcement().incarnation()) {
            entry.endLease(nowNanos);
            entry.update(announcement, nowNanos);
            entry.setSilent(false);
            section.probes().remove(entry.server());
            section.track(entry.server(), nowNanos).connectionWorked();
        }
        if (entry.announcement().leaving()) {
            // Leaving lasts for the whole incarnation, also against announcements that are delayed or newer.
            if (announcement.isNewerThan(entry.announcement())) {
                entry.update(announcement.asLeaving(), nowNanos);
            }
            return known.isEmpty() || announcement.leaving();
        }
        if (announcement.leaving()) {
            effects.count("servers.left");
            if (announcement.isNewerThan(entry.announcement())) {
                entry.update(announcement, nowNanos);
            }
            entry.leave(nowNanos);
            return true;
        }
        if (entry.announcement().isNewerThan(announcement)) {
            effects.count("servers.older_sequences");
            return false;
        }
        if (announcement.isNewerThan(entry.announcement())) {
            entry.update(announcement, nowNanos);
        }
        until.ifPresent(entry::extendLease);
        return true;
    }

    private void peer(PeerEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerConnected connected -> board.servers().setRelayedChange(connected.peer(), 0);
            case PeerEvent.PeerDisconnected disconnected -> board.servers().setRelayedChange(disconnected.peer(), 0);
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.ServerLeases leases) {
                    relayed(received.peer(), leases, board, nowNanos, effects);
                }
            }
        }
    }

    private void relayed(HostId relay, PeerMessage.ServerLeases message, Board board, long nowNanos, Effects effects) {
        OptionalLong sent = board.membership().heartbeatSentNanos(relay, message.echoedToken());
        Optional<Long> start =
                leaseStart.start(sent.isPresent() ? Optional.of(sent.getAsLong()) : Optional.empty(), nowNanos);
        if (start.isEmpty()) {
            effects.count("servers.undated_relays");
        }
        for (ServerLease lease : message.leases()) {
            long validNanos =
                    Math.min(TimeUnit.MILLISECONDS.toNanos(Math.max(0, lease.remainingMillis())), leaseNanos(board));
            Optional<Long> until = validNanos == 0 ? Optional.empty() : start.map(from -> from + validNanos);
            merge(lease.announcement(), until, board, nowNanos, effects);
        }
    }

    private static void platform(PlatformEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PlatformEvent.ServerReclaimNoticed notice -> {
                Optional<ServerEntry> entry = board.servers().server(notice.server());
                effects.count(entry.isPresent() ? "servers.reclaimed" : "servers.reclaimed_unknown");
                if (entry.isPresent()) {
                    entry.get().leave(nowNanos);
                    ServerTrack track = board.servers().track(notice.server(), nowNanos);
                    track.leaving(nowNanos);
                    track.changed(board.servers().nextChange());
                }
            }
            case PlatformEvent.HostReclaimNoticed ignored -> {}
            case PlatformEvent.HostStarted ignored -> {}
            case PlatformEvent.HostStartRefused ignored -> {}
        }
    }

    private static void attempt(AttemptEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case AttemptEvent.AttemptFailed failed ->
                runningOn(failed.attempt(), board)
                        .ifPresent(entry -> attemptFailed(entry, failed.problem(), board, nowNanos, effects));
            case AttemptEvent.FirstTokenReceived received -> connectionWorked(received.attempt(), board, nowNanos);
            case AttemptEvent.AttemptCompleted completed -> connectionWorked(completed.attempt(), board, nowNanos);
            case AttemptEvent.AttemptSent ignored -> {}
            case AttemptEvent.TokensReceived ignored -> {}
        }
    }

    /** This controller runs before the one that ends an attempt, so the call still names its server. */
    private static Optional<ServerEntry> runningOn(AttemptId attempt, Board board) {
        return board.calls()
                .call(attempt.request())
                .flatMap(call -> call.state() instanceof CallState.Running running
                                && running.attempt().equals(attempt)
                        ? board.servers().server(running.server())
                        : Optional.empty());
    }

    private static void connectionWorked(AttemptId attempt, Board board, long nowNanos) {
        runningOn(attempt, board)
                .ifPresent(
                        entry -> board.servers().track(entry.server(), nowNanos).connectionWorked());
    }

    private static void attemptFailed(
            ServerEntry entry, AttemptProblem problem, Board board, long nowNanos, Effects effects) {
        switch (problem) {
            case AttemptProblem.ConnectionSilent silent -> suspect(entry, board, nowNanos, effects);
            case AttemptProblem.ConnectFailed failed -> {
                int failures = board.servers().track(entry.server(), nowNanos).connectFailed();
                if (failures >= CONNECT_FAILURES_BEFORE_PROBE) {
                    suspect(entry, board, nowNanos, effects);
                }
            }
            case AttemptProblem.RefusedBeforeRunning refused -> {
                if (refused.leaving()) {
                    // The server may have told another host so; its next valid announcement here gives a lease again.
                    entry.endLease(nowNanos);
                }
            }
            case AttemptProblem.ServerError ignored -> {}
            case AttemptProblem.ConnectionLost ignored -> {}
            case AttemptProblem.AnswerCrossed ignored -> {}
            case AttemptProblem.AnswerTruncated ignored -> {}
            case AttemptProblem.AnswerTooLarge ignored -> {}
            case AttemptProblem.Cancelled ignored -> {}
        }
    }

    /** Sends no new work until a probe on a connection of its own answers, which takes milliseconds if all is well. */
    private static void suspect(ServerEntry entry, Board board, long nowNanos, Effects effects) {
        if (board.servers().probes().containsKey(entry.server())) {
            return;
        }
        effects.count("servers.suspected");
        entry.setSilent(true);
        Probe probe = Probe.create(nowNanos);
        board.servers().probes().put(entry.server(), probe);
        send(entry, probe, nowNanos, effects);
    }

    private static void send(ServerEntry entry, Probe probe, long nowNanos, Effects effects) {
        probe.sent(nowNanos);
        effects.add(new ServerEffect.ProbeServer(
                entry.server(), entry.announcement().address(), Probe.TIMEOUT_MILLIS));
    }

    private static void probeFinished(ServerEvent.ProbeFinished event, Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        Probe probe = section.probes().get(event.server());
        if (probe == null) {
            return;
        }
        if (!event.answered()) {
            effects.count("servers.probes_failed");
            probe.failed(nowNanos, board.random());
            return;
        }
        effects.count("servers.probes_answered");
        section.probes().remove(event.server());
        section.track(event.server(), nowNanos).connectionWorked();
        section.server(event.server()).ifPresent(entry -> entry.setSilent(false));
    }

    private static void tick(Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        for (Map.Entry<ServerId, Probe> due : section.probes().entrySet()) {
            if (due.getValue().due(nowNanos)) {
                section.server(due.getKey()).ifPresent(entry -> send(entry, due.getValue(), nowNanos, effects));
            }
        }
        if (section.nextRelayNanos() == 0 || nowNanos - section.nextRelayNanos() >= 0) {
            section.setNextRelayNanos(nowNanos + RELAY_NANOS);
            forgetOld(board, nowNanos, effects);
            List<ServerEntry> firstHand = section.servers().stream()
                    .filter(entry -> section.track(entry.server(), nowNanos).change() > 0)
                    .toList();
            for (Member member : board.membership().members()) {
                if (member.linked()) {
                    relay(member.host(), firstHand, board, nowNanos, effects);
                }
            }
        }
    }

    private static void forgetOld(Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        List<ServerId> old = new ArrayList<>();
        for (ServerEntry entry : section.servers()) {
            long silence = nowNanos - section.track(entry.server(), nowNanos).lastHeardNanos();
            if (silence > FORGET_NANOS + leaseNanos(board) && entry.inFlight() == 0) {
                old.add(entry.server());
            }
        }
        for (ServerId server : old) {
            section.remove(server);
            effects.count("servers.forgotten");
        }
    }

    /**
     * Tells a host what changed since the last message to it. Only what this host heard at first hand is relayed:
     * every pair of daemons has a link at today's size. Without a token to echo the receiver could not date the leases.
     */
    private static void relay(HostId host, List<ServerEntry> firstHand, Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        long token = board.membership().newestReceivedToken(host);
        long relayed = section.relayedChange(host);
        if (token == 0) {
            return;
        }
        List<ServerLease> leases = new ArrayList<>();
        for (ServerEntry entry : firstHand) {
            ServerTrack track = section.track(entry.server(), nowNanos);
            if (entry.announcement().leaving()) {
                // A message may be lost, so leaving is repeated until every lease given before has ended.
                if (nowNanos - track.leavingNanos() < leaseNanos(board)) {
                    leases.add(new ServerLease(entry.announcement(), 0));
                }
            } else if (track.change() > relayed && entry.leaseValid(nowNanos)) {
                leases.add(new ServerLease(
                        entry.announcement(), TimeUnit.NANOSECONDS.toMillis(entry.leaseUntilNanos() - nowNanos)));
            }
        }
        section.setRelayedChange(host, section.lastChange());
        if (!leases.isEmpty()) {
            effects.add(new PeerEffect.SendToPeer(host, new PeerMessage.ServerLeases(token, leases)));
        }
    }
}
