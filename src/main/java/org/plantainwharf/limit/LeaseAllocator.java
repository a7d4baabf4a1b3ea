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
 * Leases that the leader of the control group grants to hosts.
 *
 * <p>Invariant: at any time, the leased rates of an account that hosts may use sum to at most its leasable rate. When
 * the share of a host decreases, the difference is granted to another host only after the larger grant has expired.
 * Owned by the control thread.
 */
final class LeaseAllocator {
    /** Demand that was not reported again within this time is ignored. */
    private static final long DEMAND_EXPIRY_NANOS = 3_000_000_000L;

    /** Shares are computed once in this time instead of for each report, as hundreds of hosts report twice a second. */
    private static final long SHARE_VALIDITY_NANOS = 250_000_000L;

    private final Map<HostId, Demand> demands = new LinkedHashMap<>();
    private final Map<AccountName, Map<HostId, OutstandingGrants>> outstanding = new HashMap<>();
    private final Map<AccountName, Shares> shares = new HashMap<>();
    private long grantStartNanos = Long.MAX_VALUE;

    private LeaseAllocator() {}

    static LeaseAllocator create() {
        return new LeaseAllocator();
    }

    /** Starts without leases. Makes no grants until those of earlier leaders, which may be in use, have expired. */
    void startLeading(long nowNanos) {
        demands.clear();
        outstanding.clear();
        shares.clear();
        grantStartNanos = nowNanos + LimitShares.LEASE_EXPIRY_NANOS;
    }

    /** Clears all state when this host is no longer the leader. */
    void stopLeading() {
        demands.clear();
        outstanding.clear();
        shares.clear();
        grantStartNanos = Long.MAX_VALUE;
    }

    /** Returns whether this host leads and all grants of earlier leaders have expired. */
    boolean canGrant(long nowNanos) {
        return grantStartNanos != Long.MAX_VALUE && nowNanos - grantStartNanos >= 0;
    }

    /**
     * Records a host's demand and returns its grant, both in requests per second by account. The grant is empty while
     * grants of an earlier leader may be in use.
     *
     * @param limits limit of each account over all hosts
     * @param hosts number of configured hosts
     */
    Map<AccountName, Double> grant(
            HostId host, Map<AccountName, Double> demand, Map<AccountName, Double> limits, int hosts, long nowNanos) {
        demands.put(host, new Demand(demand, nowNanos));
        Map<AccountName, Double> grant = new LinkedHashMap<>();
        if (!canGrant(nowNanos)) {
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
        Map<HostId, OutstandingGrants> leases = outstanding.computeIfAbsent(account, key -> new LinkedHashMap<>());
        double leasedToOthers = 0;
        for (Map.Entry<HostId, OutstandingGrants> lease : leases.entrySet()) {
            if (!lease.getKey().equals(host)) {
                leasedToOthers += lease.getValue().maximumRate(nowNanos);
            }
        }
        double free = Math.max(0, LimitShares.leasableRate(limit) - leasedToOthers);
        double rate = Math.min(free, share(host, account, limit, hosts, nowNanos));
        leases.computeIfAbsent(host, key -> OutstandingGrants.create())
                .add(rate, nowNanos + LimitShares.LEASE_EXPIRY_NANOS);
        return rate;
    }

    private double share(HostId host, AccountName account, double limit, int hosts, long nowNanos) {
        Shares cached = shares.get(account);
        if (cached == null
                || nowNanos - cached.computedNanos() >= SHARE_VALIDITY_NANOS
                || !cached.rates().containsKey(host)) {
            cached = new Shares(divideLeasableRate(account, limit, hosts, nowNanos), nowNanos);
            shares.put(account, cached);
        }
        return cached.rates().getOrDefault(host, 0.0);
    }

    /** Divides the leasable rate by max-min fairness over the demand above the guaranteed rate, and the rest evenly. */
    private Map<HostId, Double> divideLeasableRate(AccountName account, double limit, int hosts, long nowNanos) {
        double guaranteedRate = LimitShares.guaranteedRate(limit, hosts);
        List<HostDemand> leaseDemands = new ArrayList<>();
        demands.forEach((host, demand) -> {
            Double rate = demand.rates().get(account);
            if (rate != null && nowNanos - demand.reportedNanos() < DEMAND_EXPIRY_NANOS) {
                leaseDemands.add(new HostDemand(host, Math.max(0, rate - guaranteedRate)));
            }
        });
        leaseDemands.sort(Comparator.comparingDouble(HostDemand::rate));
        Map<HostId, Double> rates = new HashMap<>();
        double remainingRate = LimitShares.leasableRate(limit);
        for (int index = 0; index < leaseDemands.size(); index++) {
            double rate = Math.min(leaseDemands.get(index).rate(), remainingRate / (leaseDemands.size() - index));
            rates.put(leaseDemands.get(index).host(), rate);
            remainingRate -= rate;
        }
        double evenRemainder = leaseDemands.isEmpty() ? 0 : remainingRate / leaseDemands.size();
        rates.replaceAll((host, rate) -> rate + evenRemainder);
        return rates;
    }

    private record Demand(Map<AccountName, Double> rates, long reportedNanos) {}

    private record HostDemand(HostId host, double rate) {}

    private record Shares(Map<HostId, Double> rates, long computedNanos) {}
}
