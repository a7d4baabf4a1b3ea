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
final class LeaseAllocator {
    /** Demand that was not repeated for this long is forgotten. */
    private static final long DEMAND_EXPIRY_NANOS = 3_000_000_000L;

    /** Shares are computed once in this time, not for each demand: hundreds of hosts report twice a second. */
    private static final long SHARE_VALIDITY_NANOS = 250_000_000L;

    private final Map<HostId, Demand> demands = new LinkedHashMap<>();
    private final Map<AccountName, Map<HostId, OutstandingGrants>> outstanding = new HashMap<>();
    private final Map<AccountName, Shares> shares = new HashMap<>();
    private long grantStartNanos = Long.MAX_VALUE;

    private LeaseAllocator() {}

    static LeaseAllocator create() {
        return new LeaseAllocator();
    }

    /** Starts with nothing leased; grants of an earlier leader may be in use until their validity has passed. */
    void startLeading(long nowNanos) {
        demands.clear();
        outstanding.clear();
        shares.clear();
        grantStartNanos = nowNanos + LimitShares.LEASE_EXPIRY_NANOS;
    }

    /** Forgets everything when this host no longer leads. */
    void stopLeading() {
        demands.clear();
        outstanding.clear();
        shares.clear();
        grantStartNanos = Long.MAX_VALUE;
    }

    /** Says whether all grants of earlier leaders have ended. */
    boolean canGrant(long nowNanos) {
        return grantStartNanos != Long.MAX_VALUE && nowNanos - grantStartNanos >= 0;
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

    /** Divides the leasable rate by max-min fairness over the demand above the safe share; the rest evenly. */
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
