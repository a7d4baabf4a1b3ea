package org.plantainwharf.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.error.ErrorKind;
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
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateMachine;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.settings.Settings;

/**
 * Runs this host's members of all replicated logs, applies committed entries to the state machines, and routes
 * proposals and reads to the group leaders. Writes {@code ConsensusSection} only. Runs on the control thread.
 *
 * <p>Group 0 is the control group; groups 1 to n, the record groups, store records of calls. A host without a data
 * folder or without the voter setting is not a voter: it receives the entries of group 0 only, and of the record groups
 * it knows only the leaders.
 */
public final class ConsensusController implements Controller {
    private static final int CONTROL_GROUP = 0;

    private final Map<Integer, GroupDriver> drivers;
    private final RequestDispatcher dispatcher;
    private final LogHosts hosts;
    private boolean started;
    private boolean leadershipResigned;

    private ConsensusController(Map<Integer, GroupDriver> drivers, LogHosts hosts) {
        this.drivers = drivers;
        this.hosts = hosts;
        this.dispatcher = RequestDispatcher.create(drivers, hosts);
    }

    /**
     * Returns a controller that runs the control group only, for deployments whose hosts are discovered at run time. A
     * host with a disk is a voter, or a learner that is promoted to voter; a host without a disk stays a learner.
     *
     * @param seeds hosts known at the start
     * @param diskIncarnation identity of this host's disk, 0 without a disk
     * @param content the group's content recovered from the disk
     * @param machine an empty state machine for the group
     * @param random source of election timeouts
     */
    public static ConsensusController createForDiscoveredHosts(
            Settings settings,
            List<HostId> seeds,
            long diskIncarnation,
            RecoveredGroup content,
            StateMachine machine,
            RandomGenerator random,
            long nowNanos) {
        VoterId self = VoterId.of(settings.host(), diskIncarnation);
        LogHosts hosts = LogHosts.discovered(seeds);
        Map<Integer, GroupDriver> drivers = new TreeMap<>();
        if (self.hasDisk()) {
            machine.restore(content.snapshot().records());
            Replica replica = Replica.recover(
                    CONTROL_GROUP, self, hosts, ReplicaOptions.forDiscoveredHosts(), content, random, nowNanos);
            drivers.put(
                    CONTROL_GROUP,
                    GroupDriver.create(
                            CONTROL_GROUP, replica, machine, content.snapshot().lastIndex()));
        } else {
            Learner learner = Learner.create(CONTROL_GROUP, self, hosts, ReplicaOptions.forDiscoveredHosts(), nowNanos);
            drivers.put(CONTROL_GROUP, GroupDriver.create(CONTROL_GROUP, learner, machine, 0));
        }
        return new ConsensusController(drivers, hosts);
    }

    /**
     * Returns a controller for groups 0 to {@code settings.recordGroups()}.
     *
     * @param diskIncarnation identity of this host's disk, 0 without a disk
     * @param recovered returns a group's content recovered from the disk; called only for voters
     * @param machines returns an empty state machine for a group
     * @param random source of election timeouts
     */
    public static ConsensusController create(
            Settings settings,
            long diskIncarnation,
            IntFunction<RecoveredGroup> recovered,
            IntFunction<StateMachine> machines,
            ReplicaOptions options,
            RandomGenerator random,
            long nowNanos) {
        List<HostId> voters = settings.hosts().stream()
                .filter(Settings.HostEntry::voter)
                .map(Settings.HostEntry::host)
                .toList();
        boolean voter = diskIncarnation != 0 && voters.contains(settings.host());
        VoterId self = VoterId.of(settings.host(), voter ? diskIncarnation : 0);
        Map<Integer, GroupDriver> drivers = new TreeMap<>();
        for (int group = 0; group <= settings.recordGroups(); group++) {
            if (voter) {
                RecoveredGroup content = recovered.apply(group);
                StateMachine machine = machines.apply(group);
                if (content.snapshot().lastIndex() > 0) {
                    machine.restore(content.snapshot().records());
                }
                Replica replica = Replica.recover(group, self, voters, options, content, random, nowNanos);
                drivers.put(
                        group,
                        GroupDriver.create(
                                group, replica, machine, content.snapshot().lastIndex()));
            } else if (group == 0) {
                Learner learner = Learner.create(group, self, voters, options, nowNanos);
                drivers.put(group, GroupDriver.create(group, learner, machines.apply(group), 0));
            } else {
                Learner learner = Learner.createStatusOnly(group, self, voters, options, nowNanos);
                drivers.put(group, GroupDriver.create(group, learner, null, 0));
            }
        }
        return new ConsensusController(drivers, LogHosts.configured(voters));
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        if (!started) {
            started = true;
            drivers.values().forEach(driver -> driver.publishRestoredState(effects));
        }
        switch (event) {
            case PeerEvent peer -> onPeer(peer, board, nowNanos, effects);
            case StorageEvent storage -> onStorage(storage, board, nowNanos, effects);
            case ReplicationEvent replication -> onReplication(replication, board, nowNanos, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case CallEvent call -> {}
            case AttemptEvent attempt -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent server -> {}
            case OperatorEvent operator -> {}
            case PlatformEvent platform -> {}
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (board.drain().refusesCalls() && !leadershipResigned) {
            leadershipResigned = true;
            stepAll(new ReplicaInput.Resigned(), board, nowNanos, effects);
        }
        stepAll(new ReplicaInput.Ticked(), board, nowNanos, effects);
        drivers.values().forEach(driver -> driver.repairVoters(hosts, board, nowNanos, effects));
        dispatcher.tick(board, nowNanos, effects);
    }

    private void stepAll(ReplicaInput input, Board board, long nowNanos, Effects effects) {
        drivers.values().forEach(driver -> driver.step(input, board, nowNanos, effects));
    }

    private void onStorage(StorageEvent event, Board board, long nowNanos, Effects effects) {
        @Nullable GroupDriver driver = drivers.get(event.group());
        if (driver == null) {
            return;
        }
        ReplicaInput input =
                switch (event) {
                    case StorageEvent.WriteSynced synced -> new ReplicaInput.WriteSynced(synced.writeNumber());
                    case StorageEvent.WriteFailed failed -> new ReplicaInput.WriteFailed();
                    case StorageEvent.SnapshotSynced synced -> new ReplicaInput.SnapshotSynced(synced.lastIndex());
                };
        driver.step(input, board, nowNanos, effects);
    }

    private void onReplication(ReplicationEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent.ProposalRequested requested ->
                dispatcher.submit(
                        new PendingRequest.Proposal(requested.proposalId(), requested.group(), requested.command()),
                        board,
                        nowNanos,
                        effects);
            case ReplicationEvent.QueryRequested requested ->
                dispatcher.submit(
                        new PendingRequest.Read(requested.queryId(), requested.group(), requested.query()),
                        board,
                        nowNanos,
                        effects);
            case ReplicationEvent.ProposalDecided decided -> dispatcher.complete(decided.proposalId());
            case ReplicationEvent.QueryAnswered answered -> dispatcher.complete(answered.queryId());
            case ReplicationEvent.ProposalFailed failed -> {}
            case ReplicationEvent.QueryFailed failed -> {}
            case ReplicationEvent.EntryApplied applied -> {}
            case ReplicationEvent.StateReplaced replaced -> {}
            case ReplicationEvent.LeadershipChanged changed -> {}
        }
    }

    private void onPeer(PeerEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerConnected connected -> {}
            case PeerEvent.PeerDisconnected disconnected -> {}
            case PeerEvent.ContentProgressed progressed ->
                stepAll(new ReplicaInput.ContentProgressed(progressed.peer()), board, nowNanos, effects);
            case PeerEvent.PeerMessageReceived received ->
                onMessage(received.peer(), received.message(), board, nowNanos, effects);
        }
    }

    private void onMessage(HostId peer, PeerMessage message, Board board, long nowNanos, Effects effects) {
        switch (message) {
            case PeerMessage.Replication replication ->
                onReplicaMessage(peer, replication.group(), replication.message(), board, nowNanos, effects);
            case PeerMessage.Propose propose -> {
                @Nullable GroupDriver driver = drivers.get(propose.group());
                if (driver == null
                        || !driver.propose(
                                propose.proposalId(), propose.command(), Optional.of(peer), board, nowNanos, effects)) {
                    sendRejection(peer, propose.proposalId(), propose.group(), board, effects);
                }
            }
            case PeerMessage.QueryRequest request -> {
                Optional<QueryResult> result = Optional.ofNullable(drivers.get(request.group()))
                        .flatMap(driver -> driver.answer(request.query(), nowNanos));
                if (result.isPresent()) {
                    effects.add(new PeerEffect.SendToPeer(
                            peer, new PeerMessage.QueryResponse(request.queryId(), result.get())));
                } else {
                    sendRejection(peer, request.queryId(), request.group(), board, effects);
                }
            }
            case PeerMessage.ProposeResponse decided ->
                dispatcher.onResult(
                        decided.proposalId(),
                        peer,
                        new ReplicationEvent.ProposalDecided(decided.proposalId(), decided.result()),
                        effects);
            case PeerMessage.QueryResponse answer ->
                dispatcher.onResult(
                        answer.queryId(),
                        peer,
                        new ReplicationEvent.QueryAnswered(answer.queryId(), answer.result()),
                        effects);
            case PeerMessage.Rejected rejected ->
                dispatcher.onRejected(rejected.correlationId(), peer, rejected.leader(), board, nowNanos, effects);
            case PeerMessage.Heartbeat heartbeat -> {}
            case PeerMessage.ServerLeases leases -> {}
            case PeerMessage.LimitDemand demand -> {}
            case PeerMessage.LimitGrant grant -> {}
            case PeerMessage.AllowanceReport report -> {}
            case PeerMessage.AllowanceGrant grant -> {}
            case PeerMessage.WorkAssigned assigned -> {}
            case PeerMessage.WorkAcknowledged acknowledged -> {}
            case PeerMessage.KnownPeers known -> known.addresses().keySet().forEach(hosts::add);
            case PeerMessage.ServerReports reports -> {}
            case PeerMessage.UsageCounts usage -> {}
            case PeerMessage.StreamOrigins origins -> {}
            case PeerMessage.OriginQuestion question -> {}
            case PeerMessage.OriginReply reply -> {}
            case PeerMessage.RolloutEvidence evidence -> {}
            case PeerMessage.ServerObservations observations -> {}
            case PeerMessage.KeptParts parts -> {}
            case PeerMessage.RoomReport report -> {}
            case PeerMessage.RoomGrant grant -> {}
            case PeerMessage.ReachReport report -> {}
            case PeerMessage.Helpers helpers -> {}
            case PeerMessage.DemandReport report -> {}
        }
    }

    private void onReplicaMessage(
            HostId peer, int group, ReplicaMessage message, Board board, long nowNanos, Effects effects) {
        @Nullable GroupDriver driver = drivers.get(group);
        if (driver == null || !message.sender().host().equals(peer)) {
            effects.count("consensus.messages_refused");
            return;
        }
        driver.step(
                new ReplicaInput.Received(message, board.membership().sentAfterNanos(peer)), board, nowNanos, effects);
    }

    private static void sendRejection(HostId peer, String id, int group, Board board, Effects effects) {
        effects.add(new PeerEffect.SendToPeer(
                peer,
                new PeerMessage.Rejected(
                        id,
                        ErrorKind.NO_QUORUM_NOT_RUN,
                        board.consensus().group(group).leader())));
    }
}
