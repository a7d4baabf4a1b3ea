package org.plantainwharf.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.LogCopy;
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
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.KnownServer;

/**
 * Keeps the shares of rollouts on an entry daemon in step with its copy of the log, and reports what the daemon has sent
 * and seen to all control daemons. Must come after the registry and consensus controllers and before the forward
 * controller. Runs on the control thread. An entry daemon links with control daemons only.
 */
public final class RolloutEvidenceController implements Controller {
    private static final int CONTROL_GROUP = 0;

    private static final long REPORT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** With many daemons the evidence of a second suffices, and more reports would take most of the links. */
    private static final long REPORT_PERIOD_OF_MANY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Part of all requests that comes to a daemon on average, below which there are many daemons. */
    private static final double SHARE_OF_MANY = 0.01;

    /** A report that was lost with a link or a full queue is repeated after this time, also if nothing has changed. */
    private static final long REPEAT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final RolloutBounds bounds;
    private final PeriodicTimer report = PeriodicTimer.ofNanos(REPORT_PERIOD_NANOS);
    private final PeriodicTimer reportOfMany = PeriodicTimer.ofNanos(REPORT_PERIOD_OF_MANY_NANOS);
    private final PeriodicTimer repeat = PeriodicTimer.ofNanos(REPEAT_PERIOD_NANOS);
    private final Map<ServiceName, PeerMessage.RolloutEvidence> reported = new HashMap<>();
    private long sequence;

    private RolloutEvidenceController(RolloutBounds bounds) {
        this.bounds = bounds;
    }

    /** Returns the controller of an entry daemon. */
    public static RolloutEvidenceController create(RolloutBounds bounds) {
        return new RolloutEvidenceController(bounds);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent replication -> followLog(board, nowNanos, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case PeerEvent.PeerConnected connected -> sendAll(connected.peer(), board, effects);
            case PeerEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case DutyEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    /** Puts the phases of the log in force here. */
    private void followLog(Board board, long nowNanos, Effects effects) {
        RolloutSection section = board.rollouts();
        Set<ServiceName> services = new HashSet<>();
        for (Rollout rollout : board.configuration().state().rollouts()) {
            services.add(rollout.service());
            @Nullable VersionShare share = section.share(rollout.service());
            if (share != null && share.rollout().equals(rollout)) {
                continue;
            }
            if (share == null || share.rollout().number() != rollout.number()) {
                VersionShare begun =
                        VersionShare.create(rollout, bounds, board.random().nextDouble(), nowNanos);
                if (share != null) {
                    begun.copyVersions(share);
                }
                section.put(begun);
                updateServers(board, nowNanos);
            } else {
                share.setRollout(rollout, nowNanos);
            }
            effects.log(
                    "rollout_in_force",
                    "service",
                    rollout.service(),
                    "rollout",
                    rollout.number(),
                    "target",
                    rollout.target(),
                    "phase",
                    rollout.phase().describe());
        }
        if (section.shares().size() != services.size()) {
            section.retainServices(services);
            reported.keySet().retainAll(services);
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        followLog(board, nowNanos, effects);
        if (board.rollouts().shares().isEmpty()) {
            return;
        }
        updateServers(board, nowNanos);
        boolean many = board.allowances().evenShare() < SHARE_OF_MANY;
        if ((many ? reportOfMany : report).startIfDue(nowNanos)) {
            if (repeat.startIfDue(nowNanos)) {
                reported.clear();
            }
            reportChanges(board, effects);
        }
    }

    private static void updateServers(Board board, long nowNanos) {
        Map<ServiceName, Map<ServerVersion, Integer>> ready = new HashMap<>();
        for (KnownServer server : board.registry().servers()) {
            @Nullable
            VersionShare share = board.rollouts().share(server.report().service());
            if (share != null) {
                share.hear(server.report().version(), nowNanos);
                ready.computeIfAbsent(server.report().service(), service -> new HashMap<>())
                        .merge(server.report().version(), server.ready() ? 1 : 0, Integer::sum);
            }
        }
        LogCopy copy = board.consensus().copy(CONTROL_GROUP);
        for (VersionShare share : board.rollouts().shares()) {
            Map<ServerVersion, Integer> versions =
                    ready.getOrDefault(share.rollout().service(), Map.of());
            int all = versions.values().stream().mapToInt(Integer::intValue).sum();
            int targets = versions.getOrDefault(share.rollout().target(), 0);
            share.setReadyServers(targets, all - targets);
            share.forgetVersionsExcept(versions.keySet());
            if (copy instanceof LogCopy.CompleteUntil complete) {
                share.confirmUntil(complete.timeNanos());
            }
        }
    }

    private void reportChanges(Board board, Effects effects) {
        for (VersionShare share : board.rollouts().shares()) {
            if (!share.rollout().inProgress()) {
                reported.remove(share.rollout().service());
                continue;
            }
            PeerMessage.RolloutEvidence evidence = evidence(share, 0, board);
            if (!evidence.equals(reported.put(share.rollout().service(), evidence))) {
                sequence++;
                PeerMessage.RolloutEvidence numbered = evidence(share, sequence, board);
                for (Member member : board.membership().members()) {
                    if (member.linked()) {
                        effects.add(new PeerEffect.SendToPeer(member.host(), numbered));
                    }
                }
                effects.count("rollout.evidence_reported");
            }
        }
    }

    private void sendAll(HostId peer, Board board, Effects effects) {
        for (VersionShare share : board.rollouts().shares()) {
            if (share.rollout().inProgress()) {
                sequence++;
                effects.add(new PeerEffect.SendToPeer(peer, evidence(share, sequence, board)));
            }
        }
    }

    private static PeerMessage.RolloutEvidence evidence(VersionShare share, long sequence, Board board) {
        return new PeerMessage.RolloutEvidence(
                share.rollout().service(),
                share.rollout().number(),
                sequence,
                share.rollout().phase().order(),
                share.requests(),
                share.sentToTarget(),
                share.sentToOthers(),
                runningAtOthers(share, board),
                share.counts().evidence());
    }

    /** Counts the attempts at other versions. They matter only while the last ones end, so the calls are scanned then only. */
    private static long runningAtOthers(VersionShare share, Board board) {
        if (!(share.rollout().phase() instanceof RolloutPhase.Retiring)) {
            return 0;
        }
        return board.forward().calls().stream()
                .filter(call -> call.service().equals(share.rollout().service()) && isAtOthers(call.state(), share))
                .count();
    }

    private static boolean isAtOthers(ForwardCall.State state, VersionShare share) {
        return switch (state) {
            case ForwardCall.State.Running running -> share.side(running.version()) == VersionShare.Side.OTHERS;
            case ForwardCall.State.Cancelling(ForwardCall.State.Running stopped) ->
                share.side(stopped.version()) == VersionShare.Side.OTHERS;
            case ForwardCall.State.Waiting waiting -> false;
            case ForwardCall.State.AwaitingOrigin awaitingOrigin -> false;
            case ForwardCall.State.HandedOver handedOver -> false;
            case ForwardCall.State.CancellingHandover cancelling -> false;
        };
    }
}
