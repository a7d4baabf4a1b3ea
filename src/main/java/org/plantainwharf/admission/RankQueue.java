package org.plantainwharf.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.Origin;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.sheet.Rank;

/** Queued calls of one rank for one destination, with statistics of their service. Owned by the control thread. */
final class RankQueue {
    /**
     * Time constant of the service rate, in seconds with a backlog; long compared with one call, short compared with a
     * flood.
     */
    private static final double RATE_TIME_CONSTANT_SECONDS = 3;

    /** Time constant of the recent service and of the mean number of admitted calls, in seconds. */
    private static final double SERVICE_TIME_CONSTANT_SECONDS = 10;

    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double INITIAL_HOLDING_SECONDS = 0.1;

    private final RankName rank;
    private final FairQueue timelyCalls = FairQueue.create();
    private final FairQueue lateCalls = FairQueue.create();
    private int admitted;
    private double meanAdmitted;
    private double timeToFirstTokenSeconds;
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

    /** Returns the queued calls that can still meet the latency target. */
    FairQueue timelyCalls() {
        return timelyCalls;
    }

    /**
     * Returns the queued calls that can no longer meet the latency target; they are served when no timely call is
     * queued.
     */
    FairQueue lateCalls() {
        return lateCalls;
    }

    /** Moves calls at the head of the queue that can no longer meet the latency target to the late calls. */
    void moveLateCalls(Rank target, long nowNanos) {
        CallEntry head = timelyCalls.peek();
        while (head != null && !canMeetTarget(target, head, nowNanos)) {
            lateCalls.add(timelyCalls.remove(head), 1);
            head = timelyCalls.peek();
        }
    }

    /**
     * Removes and returns the next call, a late one if there is no timely one, and counts it as admitted; null if there
     * is none.
     */
    @Nullable
    CallEntry poll() {
        CallEntry entry = timelyCalls.poll();
        if (entry == null) {
            entry = lateCalls.poll();
        }
        if (entry != null) {
            countAdmission();
        }
        return entry;
    }

    /** Removes and returns every queued call that matches. */
    List<CallEntry> removeIf(Predicate<CallEntry> condition) {
        List<CallEntry> removed = new ArrayList<>(timelyCalls.removeIf(condition));
        removed.addAll(lateCalls.removeIf(condition));
        return removed;
    }

    /**
     * Removes and returns late calls of callers whose time since arrival exceeds the given multiple of the latency
     * target.
     */
    List<CallEntry> removeOverdue(Rank target, double maximumWaitTargets, long nowNanos) {
        double limitNanos = maximumWaitTargets * target.latencyTargetMillis() * 1e6;
        return lateCalls.removeIf(entry -> entry.call().origin() instanceof Origin.Caller
                && nowNanos - entry.call().arrivedNanos() > limitNanos);
    }

    private boolean canMeetTarget(Rank target, CallEntry entry, long nowNanos) {
        double waited = (nowNanos - entry.call().arrivedNanos()) / 1e9;
        return waited + timeToFirstTokenSeconds <= target.latencyTargetMillis() / 1e3;
    }

    /** Updates the decaying statistics to the given time. Must be called before the length of the queue changes. */
    void update(long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / 1e9;
        if (seconds <= 0) {
            return;
        }
        updatedNanos = nowNanos;
        double serviceDecay = Math.exp(-seconds / SERVICE_TIME_CONSTANT_SECONDS);
        servedSeconds *= serviceDecay;
        meanAdmitted = admitted + (meanAdmitted - admitted) * serviceDecay;
        if (timelyCalls.size() > 0) {
            double rateDecay = Math.exp(-seconds / RATE_TIME_CONSTANT_SECONDS);
            backloggedSeconds = backloggedSeconds * rateDecay + seconds;
            servedInBacklog *= rateDecay;
        }
    }

    /** Counts a call as admitted and as served. */
    private void countAdmission() {
        admitted++;
        servedInBacklog++;
        servedSeconds += holdingSeconds;
    }

    /** Returns the recent service that the rank received, in slot-seconds. */
    double servedSeconds() {
        return servedSeconds;
    }

    /** Records the time from admission to the first token, or to the answer of a call without tokens. */
    void recordTimeToFirstToken(double seconds) {
        timeToFirstTokenSeconds += SMOOTHING_FACTOR * (seconds - timeToFirstTokenSeconds);
    }

    /** Returns the expected time from admission to the first token. */
    double timeToFirstTokenSeconds() {
        return timeToFirstTokenSeconds;
    }

    /**
     * Returns the number of slots to reserve for this rank: the mean number that it held, plus its square root for the
     * variation of random arrivals.
     */
    double expectedSlots() {
        return meanAdmitted + Math.sqrt(meanAdmitted);
    }

    int admitted() {
        return admitted;
    }

    /** Counts the end of an admitted call and records for how many seconds it held its slot. */
    void recordEnd(double seconds) {
        admitted--;
        holdingSeconds += SMOOTHING_FACTOR * (seconds - holdingSeconds);
    }

    /**
     * Returns the predicted wait, in seconds, of a call with the given number of calls ahead of it; 0 without a recent
     * backlog. One more call than was served is assumed, so that a short backlog in which none was served does not
     * predict an infinite wait.
     */
    double predictedWaitSeconds(double callsAhead) {
        return (callsAhead + 1) * backloggedSeconds / (servedInBacklog + 1);
    }
}
