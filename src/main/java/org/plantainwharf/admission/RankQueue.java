package org.plantainwharf.admission;

import org.plantainwharf.identity.RankName;

/**
 * Waiting calls of one rank for one destination, with what was learned of its service. Owned by the control thread.
 */
final class RankQueue {
    /** Memory of the service rate, in seconds with a backlog: long against one call, short against a flood. */
    private static final double RATE_MEMORY_SECONDS = 3;

    /** Memory of the service given, for floor shares, in seconds. */
    private static final double SERVICE_MEMORY_SECONDS = 10;

    private static final double HOLDING_SMOOTHING = 0.1;
    private static final double INITIAL_HOLDING_SECONDS = 0.1;

    private final RankName rank;
    private final FairQueue calls = FairQueue.create();
    private double backloggedSeconds;
    private double servedInBacklog;
    private double servedSeconds;
    private double holdingSeconds = INITIAL_HOLDING_SECONDS;
    private long updatedNanos;

    private RankQueue(RankName rank, long nowNanos) {
        this.rank = rank;
        this.updatedNanos = nowNanos;
    }

    static RankQueue create(RankName rank, long nowNanos) {
        return new RankQueue(rank, nowNanos);
    }

    RankName rank() {
        return rank;
    }

    FairQueue calls() {
        return calls;
    }

    /** Lets time pass; to be called before the queue's length changes. */
    void update(long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / 1e9;
        if (seconds <= 0) {
            return;
        }
        updatedNanos = nowNanos;
        servedSeconds *= Math.exp(-seconds / SERVICE_MEMORY_SECONDS);
        if (calls.size() > 0) {
            double kept = Math.exp(-seconds / RATE_MEMORY_SECONDS);
            backloggedSeconds = backloggedSeconds * kept + seconds;
            servedInBacklog *= kept;
        }
    }

    /** Counts a call that is admitted now. */
    void served() {
        servedInBacklog++;
        servedSeconds += holdingSeconds;
    }

    /** Returns the recent service given to the rank, in seconds of one slot. */
    double servedSeconds() {
        return servedSeconds;
    }

    /** Learns how long an admitted call held its slot. */
    void learnHolding(double seconds) {
        holdingSeconds += HOLDING_SMOOTHING * (seconds - holdingSeconds);
    }

    /**
     * Returns the predicted wait of a call with this many calls ahead of it, in seconds. Without a recent backlog it
     * is 0; one call more than was served is assumed, so that a short backlog does not predict an endless wait.
     */
    double predictedWaitSeconds(double callsAhead) {
        return (callsAhead + 1) * backloggedSeconds / (servedInBacklog + 1);
    }
}
