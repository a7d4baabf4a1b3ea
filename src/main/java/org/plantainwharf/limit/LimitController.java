package org.plantainwharf.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Stream;

import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.Origin;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.Controller;
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
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Sheet;

/**
 * Enforces the limit of each account over all hosts. Each host has a guaranteed rate and leases more from the leader of
 * the control group according to its demand; the sum of usable rates over all hosts never exceeds the limit. The result
 * for an arriving call is stored in the section for admission, which handles the same event later.
 *
 * <p>Stateless; its state is the {@link LimitSection}. Used by the control thread only.
 */
public final class LimitController implements Controller {
    private static final int CONTROL_GROUP = 0;
    private static final long DEMAND_PERIOD_NANOS = 500_000_000L;
    private static final double DEMAND_SMOOTHING_WEIGHT = 0.5;

    /** Factor between measured and reported demand, so that a share can grow. */
    private static final double DEMAND_MARGIN = 1.2;

    /**
     * How long the demand of an account is reported after its last call. Capacity that no host needs is divided evenly
     * between the reporting hosts, so that a caller who resumes finds more than the guaranteed rate.
     */
    private static final long DEMAND_RETENTION_NANOS = 30_000_000_000L;

    private LimitController() {}

    public static LimitController create() {
        return new LimitController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case CallEvent call -> handleCall(call, board, nowNanos);
            case PeerEvent peer -> handlePeer(peer, board, nowNanos, effects);
            case ReplicationEvent replication -> handleReplication(replication, board, nowNanos);
            case TimerEvent timer -> reportDemand(board, nowNanos, effects);
            case AttemptEvent attempt -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ServerEvent server -> {}
            case StorageEvent storage -> {}
            case OperatorEvent operator -> {}
            case PlatformEvent platform -> {}
        }
    }

    private static void handleCall(CallEvent event, Board board, long nowNanos) {
        switch (event) {
            case CallEvent.CallArrived arrived -> checkLimit(arrived.call(), board, nowNanos);
            case CallEvent.CallerLeft left -> {}
            case CallEvent.CallRefused refused -> {}
            case CallEvent.CallFinished finished -> {}
            case CallEvent.WorkAsked asked -> {}
        }
    }

    private static void checkLimit(Call call, Board board, long nowNanos) {
        LimitSection section = board.limits();
        section.setRefusal(null, Duration.ZERO);
        ClientAccount account = board.configuration()
                .inForce()
                .map(sheet -> sheet.accounts().get(call.account()))
                .orElse(null);
        if (account == null || !(call.origin() instanceof Origin.Caller)) {
            return;
        }
        section.arrivals().merge(account.name(), 1.0, Double::sum);
        double rate = section.usableRate(account.name(), account.requestsPerSecond(), hostCount(board), nowNanos);
        TokenBucket bucket = section.bucket(
                account.name(), LimitShares.guaranteedRate(account.requestsPerSecond(), hostCount(board)), nowNanos);
        bucket.refill(rate, nowNanos);
        if (!bucket.tryAcquire()) {
            section.setRefusal(call.id(), bucket.timeUntilNextToken(rate));
        }
    }

    private static int hostCount(Board board) {
        return board.settings().hosts().size();
    }

    private static void reportDemand(Board board, long nowNanos, Effects effects) {
        LimitSection section = board.limits();
        if (section.demandMeasuredNanos() != Long.MIN_VALUE
                && nowNanos - section.demandMeasuredNanos() < DEMAND_PERIOD_NANOS) {
            return;
        }
        if (section.demandMeasuredNanos() != Long.MIN_VALUE) {
            measureDemand(section, (nowNanos - section.demandMeasuredNanos()) / 1e9, nowNanos);
        }
        section.setDemandMeasuredNanos(nowNanos);
        HostId self = board.membership().self();
        GroupStatus control = board.consensus().group(CONTROL_GROUP);
        if (section.demand().isEmpty()) {
            return;
        }
        if (control.holdsLease(nowNanos)) {
            Map<AccountName, Double> grant =
                    section.leaseAllocator().grant(self, section.demand(), limits(board), hostCount(board), nowNanos);
            applyGrant(grant, nowNanos + LimitShares.LEASE_VALIDITY.toNanos(), board, nowNanos);
        } else if (!control.leading()) {
            PeerMessage demand = new PeerMessage.LimitDemand(section.demand());
            leaderCandidates(control, board)
                    .filter(host -> !host.equals(self))
                    .forEach(host -> effects.add(new PeerEffect.SendToPeer(host, demand)));
        }
    }

    /**
     * Returns the leader if it is known, and all voters otherwise: a host without a disk follows the control group
     * through any voter, so it may not know the leader.
     */
    private static Stream<HostId> leaderCandidates(GroupStatus control, Board board) {
        return control.leader().map(Stream::of).orElseGet(() -> board.settings().hosts().stream()
                .filter(Settings.HostEntry::voter)
                .map(Settings.HostEntry::host));
    }

    private static void measureDemand(LimitSection section, double seconds, long nowNanos) {
        Map<AccountName, Double> demand = section.demand();
        section.arrivals().keySet().forEach(account -> {
            demand.putIfAbsent(account, 0.0);
            section.lastArrivalNanos().put(account, nowNanos);
        });
        demand.replaceAll((account, previous) -> {
            double measured = DEMAND_MARGIN * section.arrivals().getOrDefault(account, 0.0) / seconds;
            return previous + DEMAND_SMOOTHING_WEIGHT * (measured - previous);
        });
        section.lastArrivalNanos().values().removeIf(nanos -> nowNanos - nanos > DEMAND_RETENTION_NANOS);
        demand.keySet().retainAll(section.lastArrivalNanos().keySet());
        section.arrivals().clear();
    }

    private static Map<AccountName, Double> limits(Board board) {
        Map<AccountName, Double> limits = new HashMap<>();
        Sheet sheet = board.configuration().inForce().orElse(null);
        if (sheet != null) {
            sheet.accounts().forEach((name, account) -> limits.put(name, account.requestsPerSecond()));
        }
        return limits;
    }

    private static void handlePeer(PeerEvent event, Board board, long nowNanos, Effects effects) {
        if (!(event instanceof PeerEvent.PeerMessageReceived received)) {
            return;
        }
        if (received.message() instanceof PeerMessage.LimitDemand demand) {
            answerDemand(received.peer(), demand, board, nowNanos, effects);
        } else if (received.message() instanceof PeerMessage.LimitGrant grant) {
            receiveGrant(received.peer(), grant, board, nowNanos, effects);
        }
    }

    private static void answerDemand(
            HostId peer, PeerMessage.LimitDemand demand, Board board, long nowNanos, Effects effects) {
        if (!board.consensus().group(CONTROL_GROUP).holdsLease(nowNanos)) {
            return;
        }
        Map<AccountName, Double> grant = board.limits()
                .leaseAllocator()
                .grant(peer, demand.requestsPerSecond(), limits(board), hostCount(board), nowNanos);
        if (!grant.isEmpty()) {
            effects.add(new PeerEffect.SendToPeer(
                    peer,
                    new PeerMessage.LimitGrant(
                            board.membership().newestReceivedToken(peer),
                            LimitShares.LEASE_VALIDITY.toMillis(),
                            grant)));
        }
    }

    /**
     * Applies a grant. Its validity starts when this host sent the heartbeat whose token the grant echoes, which is
     * before the leader made the grant. A grant that echoes no known heartbeat is dropped, since it may have been
     * delayed for any time.
     */
    private static void receiveGrant(
            HostId peer, PeerMessage.LimitGrant grant, Board board, long nowNanos, Effects effects) {
        OptionalLong heartbeatSentNanos = board.membership().heartbeatSentNanos(peer, grant.echoedToken());
        if (heartbeatSentNanos.isEmpty()) {
            effects.count("limits.undated_grants_dropped");
            return;
        }
        long validMillis = Math.min(grant.validMillis(), LimitShares.LEASE_VALIDITY.toMillis());
        applyGrant(
                grant.requestsPerSecond(), heartbeatSentNanos.getAsLong() + validMillis * 1_000_000, board, nowNanos);
    }

    /** Replaces each lease unless the current one ends later. Buckets are refilled at the previous rate first. */
    private static void applyGrant(Map<AccountName, Double> grant, long endNanos, Board board, long nowNanos) {
        LimitSection section = board.limits();
        Map<AccountName, Double> limits = limits(board);
        section.buckets().forEach((account, bucket) -> {
            double limit = limits.getOrDefault(account, 0.0);
            bucket.refill(section.usableRate(account, limit, hostCount(board), nowNanos), nowNanos);
        });
        grant.forEach((account, rate) -> {
            LimitSection.Lease current = section.leases().get(account);
            if (current == null || endNanos - current.endNanos() >= 0) {
                section.leases().put(account, new LimitSection.Lease(rate, endNanos));
            }
        });
        section.leases().values().removeIf(lease -> nowNanos - lease.endNanos() >= 0);
    }

    private static void handleReplication(ReplicationEvent event, Board board, long nowNanos) {
        if (event instanceof ReplicationEvent.LeadershipChanged changed && changed.group() == CONTROL_GROUP) {
            if (changed.leading()) {
                board.limits().leaseAllocator().startLeading(nowNanos);
            } else {
                board.limits().leaseAllocator().stopLeading();
            }
        }
    }
}
