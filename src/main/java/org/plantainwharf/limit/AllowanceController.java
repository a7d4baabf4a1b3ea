package org.plantainwharf.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.document.AccountRule;
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
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.message.AllowanceShare;
import org.plantainwharf.message.AllowanceUse;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServerLimitShare;
import org.plantainwharf.message.ServerLimitUse;

/**
 * Enforces the limits of accounts over all entry daemons. Entry daemons report to the control daemons, most often to the
 * leader, what they have forwarded and the demand of their callers; the leader answers with the debt of each account over
 * all daemons and the share of each daemon. Dividing only the rate does not suffice, since one long prompt uses a single
 * daemon's share of many seconds. The request limits of servers are divided along with them. Runs on the control thread.
 */
public final class AllowanceController implements Controller {
    /** Share of a limit that a daemon may use before its first grant, which arrives within a second of connecting. */
    static final double INITIAL_SHARE = 0.04;

    /** Fraction of the rate of its last share at which a daemon's use is repaid when no more grants arrive. */
    static final double DISCONNECTED_RATE_FRACTION = 0.5;

    /** Validity of a grant; longer than a change of the leader, which takes about a second. */
    static final long GRANT_VALIDITY_MILLIS = 2_000;

    private static final int CONTROL_GROUP = 0;

    /** Interval of reports and grants. What daemons forward concurrently within one is the error of the limit. */
    private static final long REPORT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Of this many reports the control daemons that do not lead get one, each second. They must hear of a daemon within {@link
     * UsageAggregator#REPORT_EXPIRY_NANOS}, or it would have no share under the next leader.
     */
    private static final int REPORTS_TO_OTHERS = 4;

    /** Weight of the newest period in the demand; a daemon receives only a few requests of an account in a second. */
    private static final double DEMAND_SMOOTHING_WEIGHT = 0.08;

    /** Lower demand than this, in tokens or requests per second, counts as none. */
    private static final double MINIMUM_DEMAND = 0.01;

    private final Map<AccountName, Double> requestedCost = new HashMap<>();
    private final Map<AccountName, Double> demand = new HashMap<>();
    private final PeriodicTimer reportPeriod = PeriodicTimer.ofNanos(REPORT_PERIOD_NANOS);
    private final LeaderReports reports = LeaderReports.create(REPORTS_TO_OTHERS);

    private AllowanceController() {}

    public static AllowanceController create() {
        return new AllowanceController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.ForwardArrived arrived -> recordDemand(arrived, board);
            case ForwardEvent ignored -> {}
            case PeerEvent.PeerMessageReceived received -> onPeerMessage(received, board, nowNanos);
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

    private void recordDemand(ForwardEvent.ForwardArrived arrived, Board board) {
        board.documents().table().ifPresent(table -> arrived.head()
                .key()
                .flatMap(table::account)
                .filter(AccountRule::limited)
                .ifPresent(account -> requestedCost.merge(account.name(), account.cost(arrived.head()), Double::sum)));
    }

    private static void onPeerMessage(PeerEvent.PeerMessageReceived received, Board board, long nowNanos) {
        if (received.message() instanceof PeerMessage.AllowanceReport report) {
            board.documents().document().ifPresent(document -> board.allowances()
                    .usage()
                    .addReport(received.peer(), received.incarnation(), report, document, nowNanos));
            board.serverLimits().aggregator().addReport(received.peer(), report.serverLimits(), nowNanos);
        } else if (received.message() instanceof PeerMessage.AllowanceGrant grant) {
            long validNanos = TimeUnit.MILLISECONDS.toNanos(grant.validMillis());
            OptionalLong heartbeatSentNanos =
                    board.membership().heartbeatSentNanos(received.peer(), grant.echoedToken());
            board.allowances()
                    .applyGrant(
                            received.peer(),
                            grant.defaultFraction(),
                            grant.shares(),
                            heartbeatSentNanos.orElse(nowNanos - validNanos) + validNanos,
                            nowNanos);
            board.serverLimits()
                    .applyShares(
                            grant.defaultFraction(),
                            grant.serverShares(),
                            () -> board.random().nextDouble(),
                            nowNanos);
        }
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (!reportPeriod.startIfDue(nowNanos)) {
            return;
        }
        if (board.consensus().group(CONTROL_GROUP).leading()) {
            sendGrants(board, nowNanos, effects);
        } else if (!board.consensus().group(CONTROL_GROUP).voting()) {
            reportUsage(board, nowNanos, effects);
        }
    }

    private void reportUsage(Board board, long nowNanos, Effects effects) {
        double periodsPerSecond = 1e9 / REPORT_PERIOD_NANOS;
        Map<AccountName, AllowanceUse> uses = new HashMap<>();
        board.documents().document().ifPresent(document -> {
            for (AccountRule account : document.accounts()) {
                double currentDemand = requestedCost.getOrDefault(account.name(), 0.0) * periodsPerSecond;
                double smoothedDemand = demand.merge(
                        account.name(), currentDemand, (old, now) -> old + DEMAND_SMOOTHING_WEIGHT * (now - old));
                AccountAllowance allowance = board.allowances().allowance(account, nowNanos);
                if (account.limited() && (smoothedDemand >= MINIMUM_DEMAND || !allowance.fullyCounted())) {
                    double debt = allowance.knownDebt(account.ratePerSecond(), nowNanos);
                    uses.put(account.name(), new AllowanceUse(allowance.used(), debt, smoothedDemand));
                }
            }
        });
        requestedCost.clear();
        if (board.allowances().endGrantIfDue(nowNanos)) {
            board.serverLimits().reduceFractions(DISCONNECTED_RATE_FRACTION, nowNanos);
        }
        Map<ServerId, ServerLimitUse> serverLimits = board.serverLimits()
                .takeReport(
                        1 / periodsPerSecond,
                        server -> board.registry().server(server).isPresent(),
                        nowNanos);
        PeerMessage message =
                new PeerMessage.AllowanceReport(!board.allowances().hasGrant(), uses, serverLimits);
        reports.send(message, board, nowNanos, effects);
    }

    private static void sendGrants(Board board, long nowNanos, Effects effects) {
        board.documents().document().ifPresent(document -> {
            Map<HostId, Map<AccountName, AllowanceShare>> shares =
                    board.allowances().usage().shares(document, nowNanos);
            Map<HostId, Map<ServerId, ServerLimitShare>> serverShares =
                    board.serverLimits().aggregator().shares(List.copyOf(shares.keySet()), nowNanos);
            double evenShare = 1.0 / Math.max(1, shares.size());
            shares.forEach((host, hostShares) -> effects.add(new PeerEffect.SendToPeer(
                    host,
                    new PeerMessage.AllowanceGrant(
                            board.membership().newestReceivedToken(host),
                            GRANT_VALIDITY_MILLIS,
                            evenShare,
                            hostShares,
                            serverShares.getOrDefault(host, Map.of())))));
        });
    }
}
