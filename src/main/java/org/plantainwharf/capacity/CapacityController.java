package org.plantainwharf.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PlatformEffect;
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
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.sheet.Sheet;

/**
 * Orders host starts and the models of engines. Only the leader of the control group acts, while it holds its lease and
 * after a fencing number was committed for its term.
 *
 * <p>A host start is committed with a token before it is ordered, and the platform starts at most one host per token. A
 * new leader finds the open starts in the replicated state and orders them again with the same tokens, so that a change
 * of leader neither loses nor duplicates a start. Used by the control thread only.
 */
public final class CapacityController implements Controller {
    private static final int CONTROL_GROUP = 0;
    private static final long REVIEW_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Time after which an open start is ordered again. The platform may lose an order; the token makes repeated orders
     * idempotent.
     */
    private static final long START_RETRY_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long PROPOSAL_RETRY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time for which a started host counts as capacity although its server has not announced itself yet. */
    private static final long BOOT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * HostDemand.HOST_START_MILLIS);

    /**
     * Time for which hosts must be missing before any is started. A burst of a few seconds needs no host, which takes
     * minutes to start.
     */
    private static final long SHORTAGE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Limit of concurrent starts, so that a wave of reclaims does not cause a wave of refused starts. */
    private static final int MAXIMUM_OPEN_STARTS = 8;

    private CapacityController() {}

    public static CapacityController create() {
        return new CapacityController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ReplicationEvent replication -> onReplication(replication, board, nowNanos, effects);
            case PlatformEvent platform -> onPlatform(platform, board, nowNanos, effects);
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent server -> onServer(server, board, nowNanos, effects);
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case PeerEvent ignored -> {}
            case StorageEvent ignored -> {}
            case OperatorEvent ignored -> {}
        }
    }

    private static void onReplication(ReplicationEvent event, Board board, long nowNanos, Effects effects) {
        CapacitySection section = board.capacity();
        switch (event) {
            case ReplicationEvent.LeadershipChanged changed -> {
                if (changed.group() == CONTROL_GROUP) {
                    section.setLeadership(
                            changed.leading()
                                    ? Optional.of(new CapacitySection.Leadership(changed.term(), 0, nowNanos))
                                    : Optional.empty());
                    if (changed.leading()) {
                        propose(
                                "fencing/" + board.membership().self() + "/" + changed.term(),
                                new Command.TakeFencingNumber(board.membership().self(), changed.term()),
                                board,
                                nowNanos,
                                effects);
                    }
                }
            }
            case ReplicationEvent.ProposalDecided decided -> {
                CapacitySection.PendingProposal pending = section.pending().remove(decided.proposalId());
                if (pending != null && decided.result() instanceof CommandResult.FencingNumber fencing) {
                    section.leadership()
                            .ifPresent(leadership -> section.setFencingNumber(leadership, fencing.number()));
                }
            }
            // Commands can be applied more than once without harm, so a later review proposes an undecided one again.
            case ReplicationEvent.ProposalFailed ignored -> {}
            case ReplicationEvent.ProposalRequested ignored -> {}
            case ReplicationEvent.QueryRequested ignored -> {}
            case ReplicationEvent.QueryAnswered ignored -> {}
            case ReplicationEvent.QueryFailed ignored -> {}
            case ReplicationEvent.EntryApplied applied -> {
                if (applied.command() instanceof Command.FinishHostStart finish
                        && !finish.platformHost().isEmpty()) {
                    // Recorded on every daemon, so that the next leader counts hosts that are still booting.
                    section.startFinishedNanos()
                            .values()
                            .removeIf(finished -> nowNanos - finished >= BOOT_TIMEOUT_NANOS);
                    section.startFinishedNanos().put(finish.token(), nowNanos);
                }
            }
            case ReplicationEvent.StateReplaced ignored -> {}
        }
    }

    private static void propose(String proposalId, Command command, Board board, long nowNanos, Effects effects) {
        board.capacity().pending().put(proposalId, new CapacitySection.PendingProposal(command, nowNanos));
        effects.post(new ReplicationEvent.ProposalRequested(proposalId, CONTROL_GROUP, command));
    }

    private static void onPlatform(PlatformEvent event, Board board, long nowNanos, Effects effects) {
        CapacitySection section = board.capacity();
        switch (event) {
            case PlatformEvent.HostStarted started -> {
                effects.count("capacity.hosts_started");
                findOpenStart(started.token(), board).ifPresent(start -> section.history(pool(start), nowNanos)
                        .recordStart());
                proposeFinish(started.token(), started.platformHost(), board, nowNanos, effects);
            }
            case PlatformEvent.HostStartRefused refused -> {
                effects.count("capacity.starts_refused");
                section.history(new CapacityPool(refused.zone(), refused.hostClass()), nowNanos)
                        .recordRefusal(nowNanos, board.random());
                proposeFinish(refused.token(), "", board, nowNanos, effects);
            }
            case PlatformEvent.ServerReclaimNoticed notice ->
                board.servers().server(notice.server()).ifPresent(entry -> {
                    Announcement announcement = entry.announcement();
                    section.history(new CapacityPool(announcement.zone(), announcement.hostClass()), nowNanos)
                            .recordReclaim(nowNanos);
                });
            case PlatformEvent.HostReclaimNoticed ignored -> {}
        }
    }

    private static void proposeFinish(String token, String platformHost, Board board, long nowNanos, Effects effects) {
        if (board.capacity().leadership().isPresent()) {
            propose("finish/" + token, new Command.FinishHostStart(token, platformHost), board, nowNanos, effects);
        }
    }

    private static void onServer(ServerEvent event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ServerEvent.EngineOrderAnswered answered -> EngineOrders.onAnswer(answered, board, nowNanos, effects);
            case ServerEvent.ServerAnnounced ignored -> {}
            case ServerEvent.ProbeFinished ignored -> {}
            case ServerEvent.CacheChanged ignored -> {}
        }
    }

    private static void onTick(Board board, long nowNanos, Effects effects) {
        CapacitySection section = board.capacity();
        GroupStatus control = board.consensus().group(CONTROL_GROUP);
        boolean due = section.lastReviewNanos().isEmpty()
                || nowNanos - section.lastReviewNanos().getAsLong() >= REVIEW_PERIOD_NANOS;
        if (!due || section.leadership().isEmpty() || !control.holdsLease(nowNanos)) {
            return;
        }
        section.setLastReviewNanos(nowNanos);
        retryProposals(board, nowNanos, effects);
        CapacitySection.Leadership leadership = section.leadership().get();
        if (leadership.fencingNumber() == 0) {
            return;
        }
        orderOpenStarts(board, nowNanos, effects);
        board.configuration()
                .inForce()
                .ifPresent(sheet -> startMissingHosts(sheet, leadership, board, nowNanos, effects));
        EngineOrders.review(board, leadership, control.leaseUntilNanos(), nowNanos, effects);
    }

    private static void retryProposals(Board board, long nowNanos, Effects effects) {
        for (Map.Entry<String, CapacitySection.PendingProposal> entry :
                List.copyOf(board.capacity().pending().entrySet())) {
            if (nowNanos - entry.getValue().sentNanos() >= PROPOSAL_RETRY_NANOS) {
                propose(entry.getKey(), entry.getValue().command(), board, nowNanos, effects);
            }
        }
    }

    private static Optional<StateRecord.HostStart> findOpenStart(String token, Board board) {
        return openStarts(board).stream()
                .filter(start -> start.token().equals(token))
                .findFirst();
    }

    private static List<StateRecord.HostStart> openStarts(Board board) {
        return board.configuration().state().hostStarts().stream()
                .filter(start -> !start.finished())
                .toList();
    }

    private static CapacityPool pool(StateRecord.HostStart start) {
        return new CapacityPool(start.zone(), start.hostClass());
    }

    /** Orders every committed start without a result, including those that an earlier leader committed. */
    private static void orderOpenStarts(Board board, long nowNanos, Effects effects) {
        CapacitySection section = board.capacity();
        for (StateRecord.HostStart start : openStarts(board)) {
            Long ordered = section.startOrderedNanos().get(start.token());
            boolean finishing = section.pending().containsKey("finish/" + start.token());
            if (!finishing && (ordered == null || nowNanos - ordered >= START_RETRY_NANOS)) {
                section.startOrderedNanos().put(start.token(), nowNanos);
                effects.count("capacity.starts_ordered");
                effects.add(new PlatformEffect.StartHost(start.token(), start.zone(), start.hostClass()));
            }
        }
    }

    private static void startMissingHosts(
            Sheet sheet, CapacitySection.Leadership leadership, Board board, long nowNanos, Effects effects) {
        CapacitySection section = board.capacity();
        section.startFinishedNanos().values().removeIf(finished -> nowNanos - finished >= BOOT_TIMEOUT_NANOS);
        Map<CapacityPool, Integer> hosts = hostsByPool(board, nowNanos);
        int open = openStarts(board).size();
        for (CapacitySection.PendingProposal pending : section.pending().values()) {
            if (pending.command() instanceof Command.RecordHostStart start
                    && findOpenStart(start.token(), board).isEmpty()) {
                hosts.merge(new CapacityPool(start.zone(), start.hostClass()), 1, Integer::sum);
                open++;
            }
        }
        int required = HostDemand.requiredHosts(board, sheet, nowNanos);
        section.setRequiredHosts(required);
        int counted = hosts.values().stream().mapToInt(Integer::intValue).sum();
        if (!section.recordShortage(SHORTAGE_DELAY_NANOS, counted < required, nowNanos)) {
            return;
        }
        for (; counted < required && open < MAXIMUM_OPEN_STARTS; counted++, open++) {
            Optional<CapacityPool> pool = Placement.choose(sheet.budgets(), hosts, section.histories(), nowNanos);
            if (pool.isEmpty()) {
                effects.count("capacity.no_place");
                return;
            }
            hosts.merge(pool.get(), 1, Integer::sum);
            // The fencing number belongs to one term of one leader, so no other leader generates the same token.
            String token = "start/" + leadership.fencingNumber() + "/" + section.nextStartNumber();
            propose(
                    "record/" + token,
                    new Command.RecordHostStart(
                            token, pool.get().zone(), pool.get().hostClass()),
                    board,
                    nowNanos,
                    effects);
        }
    }

    /** Counts hosts that run, that are starting, or that have started and whose server has not announced itself yet. */
    private static Map<CapacityPool, Integer> hostsByPool(Board board, long nowNanos) {
        Map<CapacityPool, Integer> hosts = new HashMap<>();
        for (ServerEntry entry : board.servers().servers()) {
            if (entry.leaseValid(nowNanos) && !entry.announcement().leaving()) {
                hosts.merge(
                        new CapacityPool(
                                entry.announcement().zone(),
                                entry.announcement().hostClass()),
                        1,
                        Integer::sum);
            }
        }
        for (StateRecord.HostStart start : board.configuration().state().hostStarts()) {
            boolean booting = board.capacity().startFinishedNanos().containsKey(start.token())
                    && board.servers().servers().stream()
                            .noneMatch(entry -> entry.server().value().equals(start.platformHost()));
            if (!start.finished() || booting) {
                hosts.merge(pool(start), 1, Integer::sum);
            }
        }
        return hosts;
    }
}
