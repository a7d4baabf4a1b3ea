package org.plantainwharf.forward;

/**
 * Retry budget of one daemon, and the tolerance of account limits. Immutable.
 *
 * @param retryRatio retries allowed as a fraction of the requests to a service
 * @param minimumRetries retries allowed in ten seconds regardless of the number of requests
 * @param limitWindowSeconds length of the window over which account limits are evaluated
 * @param limitOverrun fraction of a limit by which all daemons together may exceed it in a window
 * @param limitSlack tokens or requests by which they may exceed it in addition
 */
public record ForwardLimits(
        double retryRatio, double minimumRetries, double limitWindowSeconds, double limitOverrun, double limitSlack) {
    /** Fraction of the slack that buckets use; the rest covers shares that two daemons hold during a partition. */
    private static final double BUCKET_SLACK_FRACTION = 0.5;

    /** Returns the depth of an account's token bucket over all daemons, in tokens or requests; always finite. */
    double bucketDepth(double ratePerSecond, double burst) {
        double depth = burst * (1 + limitOverrun)
                + BUCKET_SLACK_FRACTION * (ratePerSecond * (limitWindowSeconds * limitOverrun) + limitSlack);
        return Math.min(depth, Double.MAX_VALUE);
    }
}
