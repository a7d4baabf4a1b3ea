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
import org.plantainwharf.event.RolloutEvent;
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
 * Maintains the registry of backend servers.
 *
 * <p>An announcement gives a lease. Each host that receives it, directly or relayed, starts the lease at an event of
 * its own that happened before the server made the announcement: the answer whose token the server returned, or the
 * heartbeat whose token the relaying host echoed. Clocks of different hosts are therefore never compared, and neither a
 * delay nor a frozen relay extends a lease. After a server announces that it is leaving, every host stops sending it
 * new work when it receives this, or at the end of the lease that the server's last valid announcement gave. A server
 * that is leaving remains so until it announces a newer incarnation. Used by the control thread only.
 */
public final class ServerController implements Controller {
    static final long RELAY_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    static final long REMOVAL_DELAY_NANOS = TimeUnit.MINUTES.toNanos(1);

    /** One failed connection may be a restart in progress or a dropped packet; a probe starts after two in a row. */
    static final int CONNECT_FAILURES_BEFORE_PROBE = 2;

    /** Tokens are encoded as JSON numbers, which represent integers exactly only up to 2^53. */
    private static final long FIRST_TOKEN_BOUND = 1L << 52;

    private final LeaseStart leaseStart;

    private ServerController(LeaseStart leaseStart) {
        this.leaseStart = leaseStart;
    }

    public static ServerController create() {
        return new ServerController(LeaseStart.fromToken());
    }

    /** Creates a controller with another rule for the start of leases, for tests that show what the rule prevents. */
    static ServerController create(LeaseStart leaseStart) {
        return new ServerController(leaseStart);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent server -> onServer(server, board, nowNanos, effects);
            case PeerEvent peer -> onPeer(peer, board, nowNanos, effects);
            case AttemptEvent attempt -> onAttempt(attempt, board, nowNanos, effects);
            case PlatformEvent platform -> onPlatform(platform, board, nowNanos, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case CallEvent ignored -> {}
            case StorageEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case OperatorEvent ignored -> {}
        }
    }

    private void onServer(ServerEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ServerEvent.ServerAnnounced announced -> onAnnouncement(announced, board, nowNanos, effects);
            case ServerEvent.ProbeFinished probe -> onProbeFinished(probe, board, nowNanos, effects);
            case ServerEvent.CacheChanged ignored -> {}
            case ServerEvent.EngineOrderAnswered ignored -> {}
        }
    }

    private void onAnnouncement(ServerEvent.ServerAnnounced event, Board board, long nowNanos, Effects effects) {
        Announcement announcement = event.announcement();
        ServerSection section = board.servers();
        ServerTracker tracker = section.tracker(announcement.server(), nowNanos);
        Optional<Long> issued = tracker.tokenIssuedNanos(event.echoedToken(), announcement.incarnation());
        Optional<Long> until = leaseStart.start(issued, nowNanos).map(start -> start + leaseNanos(board));
        if (until.isEmpty()) {
            effects.count(event.echoedToken() == 0 ? "servers.first_announcements" : "servers.unknown_tokens");
        }
        boolean changed = merge(announcement, until, board, nowNanos, effects);
        // A reclaimed server may not know of its reclaim notice, and may still announce itself to hosts that
        // missed the notice too. So its leaving is relayed again.
        boolean leaving = section.server(announcement.server())
                .map(ServerEntry::announcement)
                .filter(newest -> newest.leaving() && newest.incarnation() == announcement.incarnation())
                .isPresent();
        if (changed || leaving) {
            tracker.recordChange(section.nextChangeNumber());
        }
        if (leaving) {
            tracker.recordLeaving(nowNanos);
        }
        long token = nextToken(board);
        tracker.recordToken(token, announcement.incarnation(), nowNanos);
        effects.add(new ServerEffect.AnswerAnnouncement(event.ticket(), token));
    }

    /**
     * Returns the next token. The first is random, so that a token from before a restart of this host gives no lease.
     */
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
     * Merges an announcement, received directly or relayed, into the registry.
     *
     * @param until end of the lease that it gives, empty for none
     * @return whether it is to be relayed if it was received directly
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
        section.tracker(announcement.server(), nowNanos).recordAnnouncement(nowNanos);
        if (known.isEmpty()) {
            section.put(ServerEntry.create(announcement));
        }
        ServerEntry entry =
                known.orElseGet(() -> section.server(announcement.server()).orElseThrow());
        if (announcement.incarnation() > entry.announcement().incarnation()) {
            entry.endLease(nowNanos);
            entry.updateAnnouncement(announcement, nowNanos);
            entry.setSilent(false);
            section.probes().remove(entry.server());
            section.tracker(entry.server(), nowNanos).recordConnectSuccess();
        }
        if (entry.announcement().leaving()) {
            // Leaving lasts for the whole incarnation; no delayed or newer announcement of the incarnation revokes it.
            if (announcement.isNewerThan(entry.announcement())) {
                entry.updateAnnouncement(announcement.asLeaving(), nowNanos);
            }
            return known.isEmpty() || announcement.leaving();
        }
        if (announcement.leaving()) {
            effects.count("servers.left");
            if (announcement.isNewerThan(entry.announcement())) {
                entry.updateAnnouncement(announcement, nowNanos);
            }
            entry.markLeaving(nowNanos);
            return true;
        }
        if (entry.announcement().isNewerThan(announcement)) {
            effects.count("servers.older_sequences");
            return false;
        }
        if (announcement.isNewerThan(entry.announcement())) {
            entry.updateAnnouncement(announcement, nowNanos);
        }
        until.ifPresent(entry::extendLease);
        return true;
    }

    private void onPeer(PeerEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerConnected connected -> board.servers().setLastRelayedChange(connected.peer(), 0);
            case PeerEvent.PeerDisconnected disconnected ->
                board.servers().setLastRelayedChange(disconnected.peer(), 0);
            case PeerEvent.ContentProgressed progressed -> {}
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.ServerLeases leases) {
                    onRelayedLeases(received.peer(), leases, board, nowNanos, effects);
                }
            }
        }
    }

    private void onRelayedLeases(
            HostId relay, PeerMessage.ServerLeases message, Board board, long nowNanos, Effects effects) {
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

    private static void onPlatform(PlatformEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PlatformEvent.ServerReclaimNoticed notice -> {
                Optional<ServerEntry> entry = board.servers().server(notice.server());
                effects.count(entry.isPresent() ? "servers.reclaimed" : "servers.reclaimed_unknown");
                if (entry.isPresent()) {
                    entry.get().markLeaving(nowNanos);
                    ServerTracker tracker = board.servers().tracker(notice.server(), nowNanos);
                    tracker.recordLeaving(nowNanos);
                    tracker.recordChange(board.servers().nextChangeNumber());
                }
            }
            case PlatformEvent.HostReclaimNoticed ignored -> {}
            case PlatformEvent.HostStarted ignored -> {}
            case PlatformEvent.HostStartRefused ignored -> {}
        }
    }

    private static void onAttempt(AttemptEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case AttemptEvent.AttemptFailed failed ->
                serverOf(failed.attempt(), board)
                        .ifPresent(entry -> onAttemptFailed(entry, failed.problem(), board, nowNanos, effects));
            case AttemptEvent.FirstTokenReceived received -> recordConnectSuccess(received.attempt(), board, nowNanos);
            case AttemptEvent.AttemptCompleted completed -> recordConnectSuccess(completed.attempt(), board, nowNanos);
            case AttemptEvent.AttemptSent ignored -> {}
            case AttemptEvent.TokensReceived ignored -> {}
        }
    }

    /**
     * Returns the server that runs an attempt, or empty if the attempt has ended. This controller runs before the one
     * that ends attempts, so the call of a failed attempt still refers to its server.
     */
    private static Optional<ServerEntry> serverOf(AttemptId attempt, Board board) {
        return board.calls()
                .call(attempt.request())
                .flatMap(call -> call.state() instanceof CallState.Running running
                                && running.attempt().equals(attempt)
                        ? board.servers().server(running.server())
                        : Optional.empty());
    }

    private static void recordConnectSuccess(AttemptId attempt, Board board, long nowNanos) {
        serverOf(attempt, board)
                .ifPresent(entry ->
                        board.servers().tracker(entry.server(), nowNanos).recordConnectSuccess());
    }

    private static void onAttemptFailed(
            ServerEntry entry, AttemptProblem problem, Board board, long nowNanos, Effects effects) {
        switch (problem) {
            case AttemptProblem.ConnectionSilent silent -> startProbing(entry, board, nowNanos, effects);
            case AttemptProblem.ConnectFailed failed -> {
                int failures = board.servers().tracker(entry.server(), nowNanos).recordConnectFailure();
                if (failures >= CONNECT_FAILURES_BEFORE_PROBE) {
                    startProbing(entry, board, nowNanos, effects);
                }
            }
            case AttemptProblem.RefusedBeforeRunning refused -> {
                if (refused.leaving()) {
                    // The server may have announced leaving to another host. Its next valid announcement to this
                    // host gives a lease again.
                    entry.endLease(nowNanos);
                }
            }
            case AttemptProblem.ServerError ignored -> {}
            case AttemptProblem.ConnectionLost ignored -> {}
            case AttemptProblem.AnswerMismatched ignored -> {}
            case AttemptProblem.AnswerTruncated ignored -> {}
            case AttemptProblem.AnswerTooLarge ignored -> {}
            case AttemptProblem.Cancelled ignored -> {}
        }
    }

    /**
     * Sends the server no new work until it answers a probe on a separate connection, which takes milliseconds if the
     * server is healthy.
     */
    private static void startProbing(ServerEntry entry, Board board, long nowNanos, Effects effects) {
        if (board.servers().probes().containsKey(entry.server())) {
            return;
        }
        effects.count("servers.suspected");
        entry.setSilent(true);
        Probe probe = Probe.create(nowNanos);
        board.servers().probes().put(entry.server(), probe);
        sendProbe(entry, probe, nowNanos, effects);
    }

    private static void sendProbe(ServerEntry entry, Probe probe, long nowNanos, Effects effects) {
        probe.recordSent(nowNanos);
        effects.add(new ServerEffect.ProbeServer(
                entry.server(), entry.announcement().address(), Probe.TIMEOUT_MILLIS));
    }

    private static void onProbeFinished(ServerEvent.ProbeFinished event, Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        Probe probe = section.probes().get(event.server());
        if (probe == null) {
            return;
        }
        if (!event.answered()) {
            effects.count("servers.probes_failed");
            probe.recordFailure(nowNanos, board.random());
            return;
        }
        effects.count("servers.probes_answered");
        section.probes().remove(event.server());
        section.tracker(event.server(), nowNanos).recordConnectSuccess();
        section.server(event.server()).ifPresent(entry -> entry.setSilent(false));
    }

    private static void onTick(Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        for (Map.Entry<ServerId, Probe> due : section.probes().entrySet()) {
            if (due.getValue().isDue(nowNanos)) {
                section.server(due.getKey()).ifPresent(entry -> sendProbe(entry, due.getValue(), nowNanos, effects));
            }
        }
        if (section.nextRelayNanos() == 0 || nowNanos - section.nextRelayNanos() >= 0) {
            section.setNextRelayNanos(nowNanos + RELAY_PERIOD_NANOS);
            removeExpired(board, nowNanos, effects);
            List<ServerEntry> directlyAnnounced = section.servers().stream()
                    .filter(entry -> section.tracker(entry.server(), nowNanos).lastChange() > 0)
                    .toList();
            for (Member member : board.membership().members()) {
                if (member.linked()) {
                    relayLeases(member.host(), directlyAnnounced, board, nowNanos, effects);
                }
            }
        }
    }

    private static void removeExpired(Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        List<ServerId> expired = new ArrayList<>();
        for (ServerEntry entry : section.servers()) {
            long silence = nowNanos - section.tracker(entry.server(), nowNanos).lastAnnouncementNanos();
            if (silence > REMOVAL_DELAY_NANOS + leaseNanos(board) && entry.inFlight() == 0) {
                expired.add(entry.server());
            }
        }
        for (ServerId server : expired) {
            section.remove(server);
            effects.count("servers.forgotten");
        }
    }

    /**
     * Sends a host the leases that changed since the last message to it. Only what servers announced directly to this
     * host is relayed, because every pair of daemons has a link at the present size. Nothing is sent without a token to
     * echo, since the receiver could not determine when the leases start.
     */
    private static void relayLeases(
            HostId host, List<ServerEntry> directlyAnnounced, Board board, long nowNanos, Effects effects) {
        ServerSection section = board.servers();
        long token = board.membership().newestReceivedToken(host);
        long lastRelayed = section.lastRelayedChange(host);
        if (token == 0) {
            return;
        }
        List<ServerLease> leases = new ArrayList<>();
        for (ServerEntry entry : directlyAnnounced) {
            ServerTracker tracker = section.tracker(entry.server(), nowNanos);
            if (entry.announcement().leaving()) {
                // A message may be lost, so leaving is repeated until every earlier lease has expired.
                if (nowNanos - tracker.leavingNanos() < leaseNanos(board)) {
                    leases.add(new ServerLease(entry.announcement(), 0));
                }
            } else if (tracker.lastChange() > lastRelayed && entry.leaseValid(nowNanos)) {
                leases.add(new ServerLease(
                        entry.announcement(), TimeUnit.NANOSECONDS.toMillis(entry.leaseUntilNanos() - nowNanos)));
            }
        }
        section.setLastRelayedChange(host, section.lastChangeNumber());
        if (!leases.isEmpty()) {
            effects.add(new PeerEffect.SendToPeer(host, new PeerMessage.ServerLeases(token, leases)));
        }
    }
}
