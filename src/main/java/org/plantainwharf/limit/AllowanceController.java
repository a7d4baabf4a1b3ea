package org.plantainwharf.limit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.ServiceDocument;
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
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;

/**
 * Divides the limits of accounts between entry daemons by demand. Entry daemons tell every control daemon what was asked
 * of them; the one that leads grants shares that are valid for a while. Runs on the control thread.
 */
public final class AllowanceController implements Controller {
    /** Part of a limit that a daemon may use before its first grant, which comes within a second of its links. */
    static final double FIRST_SHARE = 0.04;

    /** Part of its last share that a daemon keeps when grants stop. A zone with a third of the daemons adds a sixth. */
    static final double CUT_OFF_PART = 0.5;

    private static final int CONTROL_GROUP = 0;
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long VALID_MILLIS = 2_000;

    /** A daemon that was not heard for this long no longer holds a valid grant. */
    private static final long FORGET_NANOS = TimeUnit.MILLISECONDS.toNanos(VALID_MILLIS + 500);

    /** Weight of the newest half second in the demand; a daemon gets some requests of an account in a second. */
    private static final double DEMAND_WEIGHT = 0.15;

    /** Room above the present demand, so that growth within a period is not refused. */
    private static final double HEADROOM = 1.5;

    /** Part of a limit that is always spread evenly, so that a jump meets a share wherever it lands. */
    private static final double EVEN_PART = 0.25;

    private final Map<AccountName, Double> asked = new HashMap<>();
    private final Map<AccountName, Double> demand = new HashMap<>();
    private long nextNanos;

    private AllowanceController() {}

    /** Returns the controller. */
    public static AllowanceController create() {
        return new AllowanceController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.ForwardArrived arrived -> count(arrived, board);
            case ForwardEvent ignored -> {}
            case PeerEvent.PeerMessageReceived received -> onMessage(received, board, nowNanos);
            case PeerEvent ignored -> {}
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case DocumentEvent ignored -> {}
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

    private void count(ForwardEvent.ForwardArrived arrived, Board board) {
        board.documents().table().ifPresent(table -> arrived.head()
                .key()
                .flatMap(table::account)
                .filter(AccountRule::limited)
                .ifPresent(account -> asked.merge(account.name(), account.cost(arrived.head()), Double::sum)));
    }

    private static void onMessage(PeerEvent.PeerMessageReceived received, Board board, long nowNanos) {
        if (received.message() instanceof PeerMessage.LimitDemand asking) {
            board.allowances().ask(received.peer(), asking.requestsPerSecond(), nowNanos);
        } else if (received.message() instanceof PeerMessage.LimitGrant grant) {
            OptionalLong sent = board.membership().heartbeatSentNanos(received.peer(), grant.echoedToken());
            long since = sent.orElse(nowNanos - TimeUnit.MILLISECONDS.toNanos(grant.validMillis()));
            board.allowances()
                    .grant(grant.requestsPerSecond(), since + TimeUnit.MILLISECONDS.toNanos(grant.validMillis()));
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (nowNanos - nextNanos < 0 && nextNanos != 0) {
            return;
        }
        nextNanos = nowNanos + PERIOD_NANOS;
        if (board.consensus().group(CONTROL_GROUP).leading()) {
            grantAll(board, nowNanos, effects);
        } else if (!board.consensus().group(CONTROL_GROUP).voting()) {
            tellDemand(board, effects);
        }
    }

    private void tellDemand(Board board, Effects effects) {
        double perSecond = 1e9 / PERIOD_NANOS;
        board.documents().document().ifPresent(document -> {
            for (AccountRule account : document.accounts()) {
                double newest = asked.getOrDefault(account.name(), 0.0) * perSecond;
                demand.merge(account.name(), newest, (old, now) -> old + DEMAND_WEIGHT * (now - old));
            }
        });
        asked.clear();
        PeerMessage message = new PeerMessage.LimitDemand(demand);
        for (Member member : board.membership().members()) {
            if (member.linked()) {
                effects.add(new PeerEffect.SendToPeer(member.host(), message));
            }
        }
    }

    private static void grantAll(Board board, long nowNanos, Effects effects) {
        Map<HostId, AllowanceSection.Demand> demands = board.allowances().demands();
        demands.values().removeIf(demand -> nowNanos - demand.heardNanos() >= FORGET_NANOS);
        if (demands.isEmpty() || board.documents().document().isEmpty()) {
            return;
        }
        ServiceDocument document = board.documents().document().get();
        Map<HostId, Map<AccountName, Double>> shares = new LinkedHashMap<>();
        demands.keySet().forEach(host -> shares.put(host, new HashMap<>()));
        for (AccountRule account : document.accounts()) {
            if (account.limited()) {
                divide(account, demands, shares);
            }
        }
        shares.forEach((host, share) -> effects.add(new PeerEffect.SendToPeer(
                host, new PeerMessage.LimitGrant(board.membership().newestReceivedToken(host), VALID_MILLIS, share))));
    }

    /** Gives each daemon what it asks for with some room, scaled down to the limit, and spreads the rest evenly. */
    private static void divide(
            AccountRule account,
            Map<HostId, AllowanceSection.Demand> demands,
            Map<HostId, Map<AccountName, Double>> shares) {
        List<HostId> hosts = List.copyOf(shares.keySet());
        double limit = account.ratePerSecond();
        double even = limit / hosts.size();
        double wanted = 0;
        for (HostId host : hosts) {
            wanted += HEADROOM * perSecond(demands, host, account.name());
        }
        double scale = wanted <= 0 ? 0 : Math.min(1, (1 - EVEN_PART) * limit / wanted);
        double rest = (limit - wanted * scale) / hosts.size();
        for (HostId host : hosts) {
            double share = wanted <= 0 ? even : HEADROOM * perSecond(demands, host, account.name()) * scale + rest;
            shares.computeIfAbsent(host, key -> new HashMap<>()).put(account.name(), share);
        }
    }

    private static double perSecond(Map<HostId, AllowanceSection.Demand> demands, HostId host, AccountName account) {
        AllowanceSection.Demand demand = demands.get(host);
        return demand == null ? 0 : demand.perSecond().getOrDefault(account, 0.0);
    }
}
