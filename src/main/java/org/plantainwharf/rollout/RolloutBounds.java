package org.plantainwharf.rollout;

/**
 * Bounds of the requests that a version under watch gets while it is not known to be good. Immutable.
 *
 * @param exposureShare share of all requests to the service since the rollout began that a bad version may get, 0 to 1
 * @param exposureSlack requests that it may get in addition, over all daemons
 * @param rollBackMillis time after the answers that show a version to be bad within which no request may be sent to it
 */
public record RolloutBounds(double exposureShare, double exposureSlack, long rollBackMillis) {
    /** Returns the bounds that hold where the settings state none. */
    public static RolloutBounds defaults() {
        return new RolloutBounds(0.1, 50, 5_000);
    }
}
