package org.plantainwharf.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;

/**
 * What the leader of the control group leases to hosts.
 *
 * <p>Invariant: at any time, the shares of an account that hosts may use sum to at most its leasable rate. A share that
 * shrinks for one host is given to another only after the greater grant has ended. Owned by the control thread.
 */
final class LimitLedger {
    /** Demand that was not repeated for this long is forgotten. */
    private static final long DEMAND_NANOS = 3_000_000_000L;

    /** Shares are computed once in this time, not for each demand: hundreds of hosts report twice a second. */
    private static final long SHARES_NANOS = 250_000_000L;

    private final Map<HostId, Demand> demands = new LinkedHashMap<>();
    private final Map<AccountName, Map<HostId, OutstandingLease>> outstanding = new HashMap<>();
    private final Map<AccountName, Shares> shares = new HashMap<>();
    private long grantsFromNanos = Long.MAX_VALUE;

    private LimitLedger() {}

    static LimitLedger create() {
        return new LimitLedger();
    }

    /** Starts with nothing leased; grants of an earlier leader may be in use until their validity has passed. */
    void takeOver(long nowNanos) {
        demands.clear();
        outstanding.clear();
        shares.clear();
        grantsFromNanos = nowNanos + LimitShares.EXPIRY_NANOS;
    }

    /** Forgets everything when this host no longer leads. */
    void handOver() {
        demands.clear();
        outstanding.clear();
        shares.clear();
        grantsFromNanos = Long.MAX_VALUE;
    }

    /** Says whether all grants of earlier leaders have ended. */
    boolean mayGrant(long nowNanos) {
        return grantsFromNanos != Long.MAX_VALUE && nowNanos - grantsFromNanos >= 0;
    }

    /**
     * Takes a host's demand and returns its grant. Empty while grants of an earlier leader may be in use.
     *
     * @param limits limit of each account over all hosts
     */
    Map<AccountName, Double> grant(
            HostId host, Map<AccountName, Double> demand, Map<AccountName, Double> limits, int hosts, long nowNanos) {
        demands.put(host, new Demand(demand, nowNanos));
        Map<AccountName, Double> grant = new LinkedHashMap<>();
        if (!mayGrant(nowNanos)) {
            return grant;
        }
        for (AccountName account : demand.keySet()) {
            Double limit = limits.get(account);
            if (limit != null) {
                double rate = grant(host, account, limit, hosts, nowNanos);
                if (rate > 0) {
                    grant.put(account, rate);
                }
            }
        }
        return grant;
    }

    private double grant(HostId host, AccountName account, double limit, int hosts, long nowNanos) {
        Map<HostId, OutstandingLease> leases = outstanding.computeIfAbsent(account, key -> new LinkedHashMap<>());
        double others = 0;
        for (Map.Entry<HostId, OutstandingLease> lease : leases.entrySet()) {
            if (!lease.getKey().equals(host)) {
                others += lease.getValue().rate(nowNanos);
            }
        }
        double free = Math.max(0, LimitShares.leasableRate(limit) - others);
        double rate = Math.min(free, share(host, account, limit, hosts, nowNanos));
        leases.computeIfAbsent(host, key -> OutstandingLease.create()).add(rate, nowNanos + LimitShares.EXPIRY_NANOS);
        return rate;
    }

    private double share(HostId host, AccountName account, double limit, int hosts, long nowNanos) {
        Shares known = shares.get(account);
        if (known == null
                || nowNanos - known.nanos() >= SHARES_NANOS
                || !known.rates().containsKey(host)) {
            known = new Shares(divide(account, limit, hosts, nowNanos), nowNanos);
            shares.put(account, known);
        }
        return known.rates().getOrDefault(host, 0.0);
    }

    /** Divides the leasable rate by max-min fairness over the demand above the safe share; the rest evenly. */
    private Map<HostId, Double> divide(AccountName account, double limit, int hosts, long nowNanos) {
        double safe = LimitShares.safeRate(limit, hosts);
        List<HostDemand> wanted = new ArrayList<>();
        demands.forEach((host, demand) -> {
            Double rate = demand.rates().get(account);
            if (rate != null && nowNanos - demand.nanos() < DEMAND_NANOS) {
                wanted.add(new HostDemand(host, Math.max(0, rate - safe)));
            }
        });
        wanted.sort(Comparator.comparingDouble(HostDemand::rate));
        Map<HostId, Double> rates = new HashMap<>();
        double left = LimitShares.leasableRate(limit);
        for (int index = 0; index < wanted.size(); index++) {
            double rate = Math.min(wanted.get(index).rate(), left / (wanted.size() - index));
            rates.put(wanted.get(index).host(), rate);
            left -= rate;
        }
        double extra = wanted.isEmpty() ? 0 : left / wanted.size();
        rates.replaceAll((host, rate) -> rate + extra);
        return rates;
    }

    private record Demand(Map<AccountName, Double> rates, long nanos) {}

    private record HostDemand(HostId host, double rate) {}

    private record Shares(Map<HostId, Double> rates, long nanos) {}
}
