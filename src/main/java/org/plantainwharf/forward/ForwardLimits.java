package org.plantainwharf.forward;

/**
 * What one daemon may spend on repeats, and how far account limits may be passed. Immutable.
 *
 * @param retryRatio repeats allowed as a part of the requests to a service
 * @param minimumRetries repeats in ten seconds that are allowed however few requests there are
 * @param limitWindowSeconds span over which account limits are judged
 * @param limitOverrun part of a limit by which all daemons together may pass it in a window
 * @param limitSlack tokens or requests by which they may pass it besides
 */
public record ForwardLimits(
        double retryRatio, double minimumRetries, double limitWindowSeconds, double limitOverrun, double limitSlack) {
    /** Part of the slack that buckets use; the rest is for shares that a cut leaves with two daemons at once. */
    private static final double BUCKET_SLACK_FRACTION = 0.5;

    /** Returns the most tokens or requests that all daemons together may have saved up for an account. */
    double bucketDepth(double ratePerSecond, double burst) {
        return burst * (1 + limitOverrun)
                + BUCKET_SLACK_FRACTION * (ratePerSecond * limitWindowSeconds * limitOverrun + limitSlack);
    }
}
