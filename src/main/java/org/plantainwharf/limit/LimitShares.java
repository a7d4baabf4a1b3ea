package org.plantainwharf.limit;

import java.time.Duration;

/** How the limit of an account is divided between hosts. Stateless. */
final class LimitShares {
    /** Part of a limit that is divided evenly and needs no lease, so that a host that is cut off still serves. */
    private static final double GUARANTEED_FRACTION = 0.25;

    /** Validity of a leased share. */
    static final Duration LEASE_VALIDITY = Duration.ofSeconds(3);

    /**
     * Time after which the leader counts a lease as ended: the validity and 10% for clocks that drift apart, as for the
     * lease of the leader itself.
     */
    static final long LEASE_EXPIRY_NANOS = LEASE_VALIDITY.plusMillis(300).toNanos();

    private LimitShares() {}

    /** Returns the rate that each configured host always has. */
    static double guaranteedRate(double limit, int hosts) {
        return GUARANTEED_FRACTION * limit / Math.max(1, hosts);
    }

    /** Returns the rate that is leased, over all hosts. */
    static double leasableRate(double limit) {
        return (1 - GUARANTEED_FRACTION) * limit;
    }
}
