package org.plantainwharf.limit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.AllowanceShare;
import org.plantainwharf.message.AllowanceUse;
import org.plantainwharf.message.PeerMessage;

/**
 * Total use of each account over all entry daemons. Every control daemon aggregates the reports, so that a new leader
 * continues with its own totals. Amounts are tokens or requests, as the limit counts. Owned by the control thread.
 */
final class UsageAggregator {
    /** A daemon that has not reported for this long holds no valid grant and receives no share of the limits. */
    static final long REPORT_EXPIRY_NANOS =
            TimeUnit.MILLISECONDS.toNanos(AllowanceController.GRANT_VALIDITY_MILLIS + 500);

    /** Factor on the current demand, so that requests are not refused while the demand grows within a period. */
    private static final double HEADROOM_FACTOR = 1.5;

    /** Minimum fraction of a limit that is divided evenly, so that every daemon has a share when its demand jumps. */
    private static final double EVEN_FRACTION = 0.5;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<HostId, EntryDaemon> entryDaemons = new LinkedHashMap<>();
    private final Map<AccountName, Debt> debts = new HashMap<>();

    /** Reports of one incarnation of an entry daemon. */
    private static final class EntryDaemon {
        private final long incarnation;
        private final Map<AccountName, Double> countedUse = new HashMap<>();
        private Map<AccountName, Double> demandPerSecond = Map.of();
        private long reportedNanos;

        EntryDaemon(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /** Debt of an account at a point in time. Immutable. */
    private record Debt(double amount, long updatedNanos) {}

    /** Adds the use and replaces the demand that an entry daemon reported. */
    void addReport(
            HostId host,
            long incarnation,
            PeerMessage.AllowanceReport report,
            ServiceDocument document,
            long nowNanos) {
        @Nullable EntryDaemon known = entryDaemons.get(host);
        EntryDaemon daemon = known != null && known.incarnation == incarnation ? known : new EntryDaemon(incarnation);
        entryDaemons.put(host, daemon);
        daemon.reportedNanos = nowNanos;
        Map<AccountName, Double> demand = new HashMap<>();
        for (AccountRule account : document.accounts()) {
            @Nullable AllowanceUse use = report.uses().get(account.name());
            if (use != null && account.limited()) {
                demand.put(account.name(), use.demandPerSecond());
                addUse(daemon, account, use, report.neverGranted(), nowNanos);
            }
        }
        daemon.demandPerSecond = demand;
    }

    private void addUse(EntryDaemon daemon, AccountRule account, AllowanceUse use, boolean ungranted, long nowNanos) {
        @Nullable Double previouslyCounted = daemon.countedUse.put(account.name(), use.used());
        double newDebt = debt(account, nowNanos);
        if (previouslyCounted == null && !ungranted) {
            // The debt that the sender knows includes what another control daemon has counted before.
            newDebt = Math.max(newDebt, use.debt());
        } else {
            newDebt += use.used() - (previouslyCounted == null ? 0 : previouslyCounted);
        }
        debts.put(account.name(), new Debt(Math.max(0, newDebt), nowNanos));
    }

    private double debt(AccountRule account, long nowNanos) {
        @Nullable Debt debt = debts.get(account.name());
        return debt == null
                ? 0
                : Math.max(
                        0,
                        debt.amount() - account.ratePerSecond() * (nowNanos - debt.updatedNanos()) / NANOS_PER_SECOND);
    }

    /** Returns the hosts of the entry daemons that have reported recently and receive grants. */
    List<HostId> activeHosts(long nowNanos) {
        return entryDaemons.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().reportedNanos < REPORT_EXPIRY_NANOS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the shares of every active host, for accounts that have demand, debt or counted use. */
    Map<HostId, Map<AccountName, AllowanceShare>> shares(ServiceDocument document, long nowNanos) {
        List<HostId> hosts = activeHosts(nowNanos);
        Map<HostId, Map<AccountName, AllowanceShare>> shares = new LinkedHashMap<>();
        hosts.forEach(host -> shares.put(host, new HashMap<>()));
        for (AccountRule account : document.accounts()) {
            if (account.limited()) {
                divideLimit(account, hosts, shares, nowNanos);
            }
        }
        return shares;
    }

    /**
     * Gives each daemon a rate for its demand with headroom, scaled down if necessary, and divides the rest of the
     * limit evenly.
     */
    private void divideLimit(
            AccountRule account,
            List<HostId> hosts,
            Map<HostId, Map<AccountName, AllowanceShare>> shares,
            long nowNanos) {
        double debt = debt(account, nowNanos);
        double totalDemand = HEADROOM_FACTOR
                * hosts.stream()
                        .mapToDouble(host -> demand(host, account.name()))
                        .sum();
        double scale = totalDemand <= 0 ? 0 : Math.min(1, (1 - EVEN_FRACTION) * account.ratePerSecond() / totalDemand);
        double evenRate = (account.ratePerSecond() - totalDemand * scale) / hosts.size();
        for (HostId host : hosts) {
            @Nullable EntryDaemon daemon = entryDaemons.get(host);
            @Nullable Double countedUse = daemon == null ? null : daemon.countedUse.get(account.name());
            if (debt > 0 || totalDemand > 0 || countedUse != null) {
                double rate = HEADROOM_FACTOR * demand(host, account.name()) * scale + evenRate;
                shares.computeIfAbsent(host, key -> new HashMap<>())
                        .put(
                                account.name(),
                                new AllowanceShare(
                                        debt, countedUse == null ? 0 : countedUse, rate / account.ratePerSecond()));
            }
        }
    }

    private double demand(HostId host, AccountName account) {
        @Nullable EntryDaemon daemon = entryDaemons.get(host);
        return daemon == null ? 0 : daemon.demandPerSecond.getOrDefault(account, 0.0);
    }
}
