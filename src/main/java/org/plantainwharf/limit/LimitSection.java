package org.plantainwharf.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RequestId;

/**
 * Rates of accounts on this host, and the leases that this host grants to others while it leads. Written by the limit
 * controller. Owned by the control thread.
 */
public final class LimitSection {
    private final Map<AccountName, TokenBucket> buckets = new HashMap<>();
    private final Map<AccountName, Lease> leases = new HashMap<>();
    private final Map<AccountName, Double> arrivals = new HashMap<>();
    private final Map<AccountName, Double> demand = new HashMap<>();
    private final Map<AccountName, Long> lastArrivalNanos = new HashMap<>();
    private final LeaseAllocator leaseAllocator = LeaseAllocator.create();
    private long demandMeasuredNanos = Long.MIN_VALUE;
    private @Nullable RequestId refusedRequest;
    private Duration retryAfter = Duration.ZERO;

    private LimitSection() {}

    public static LimitSection create() {
        return new LimitSection();
    }

    /** Returns the delay after which the call that arrives now may be retried; empty if it is within the limit. */
    public Optional<Duration> refusal(RequestId request) {
        return request.equals(refusedRequest) ? Optional.of(retryAfter) : Optional.empty();
    }

    /**
     * Returns the rate at which this host may serve an account.
     *
     * @param limit the account's limit over all hosts, in requests per second
     * @param hosts number of configured hosts
     */
    public double usableRate(AccountName account, double limit, int hosts, long nowNanos) {
        double guaranteedRate = LimitShares.guaranteedRate(limit, hosts);
        Lease lease = leases.get(account);
        if (lease == null || nowNanos - lease.endNanos() >= 0) {
            return guaranteedRate;
        }
        return guaranteedRate + Math.min(lease.rate(), LimitShares.leasableRate(limit));
    }

    void setRefusal(@Nullable RequestId request, Duration delay) {
        refusedRequest = request;
        retryAfter = delay;
    }

    TokenBucket bucket(AccountName account, double guaranteedRate, long nowNanos) {
        return buckets.computeIfAbsent(account, key -> TokenBucket.create(guaranteedRate, nowNanos));
    }

    /** Returns the buckets by account. They must be refilled at the previous rate before a lease changes. */
    Map<AccountName, TokenBucket> buckets() {
        return buckets;
    }

    Map<AccountName, Lease> leases() {
        return leases;
    }

    Map<AccountName, Double> arrivals() {
        return arrivals;
    }

    /** Returns when each account last sent a call, with a resolution of half a second. */
    Map<AccountName, Long> lastArrivalNanos() {
        return lastArrivalNanos;
    }

    Map<AccountName, Double> demand() {
        return demand;
    }

    LeaseAllocator leaseAllocator() {
        return leaseAllocator;
    }

    long demandMeasuredNanos() {
        return demandMeasuredNanos;
    }

    void setDemandMeasuredNanos(long value) {
        demandMeasuredNanos = value;
    }

    /** A rate in addition to the guaranteed rate, with its end on this host's monotonic clock. */
    record Lease(double rate, long endNanos) {}
}
