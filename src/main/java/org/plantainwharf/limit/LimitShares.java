package org.plantainwharf.limit;

import java.time.Duration;

/** Division of an account's limit into guaranteed and leasable rates. Stateless. */
final class LimitShares {
    /** Fraction of a limit that is divided evenly and needs no lease, so that a partitioned host can still serve. */
    private static final double GUARANTEED_FRACTION = 0.25;

    static final Duration LEASE_VALIDITY = Duration.ofSeconds(3);

    /**
     * Time after which the leader treats a lease as expired: the validity plus 10% for clock drift, as for the leader's
     * own lease.
     */
    static final long LEASE_EXPIRY_NANOS = LEASE_VALIDITY.plusMillis(300).toNanos();

    private LimitShares() {}

    /** Returns the rate that each configured host has without a lease. */
    static double guaranteedRate(double limit, int hosts) {
        return GUARANTEED_FRACTION * limit / Math.max(1, hosts);
    }

    /** Returns the rate that is available for leases over all hosts. */
    static double leasableRate(double limit) {
        return (1 - GUARANTEED_FRACTION) * limit;
    }
}
