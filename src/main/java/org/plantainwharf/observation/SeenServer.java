package org.plantainwharf.observation;

/**
 * The newest observation of one start of a server, dated on this host's monotonic clock. Immutable.
 *
 * @param speedPercent how long the server takes for a prompt token, in percent of the usual server; 0 if unknown
 * @param seenNanos when the server said its load
 * @param speedNanos when the speed was learned
 */
public record SeenServer(
        int running, int waiting, int workTimePercent, int speedPercent, long seenNanos, long speedNanos) {
    /** Returns the observation to be sent now. The speed is left out if it is older than the load. */
    ServerObservation toObservation(ServerStart server, long nowNanos) {
        return new ServerObservation(
                server, running, waiting, workTimePercent, speedNanos == seenNanos ? speedPercent : 0, (int)
                        Math.max(0, (nowNanos - seenNanos) / 1_000_000));
    }
}
