package org.plantainwharf.retry;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.ServerId;

/**
 * Retry budget, failed attempts of live calls, and deadlines. Only the controllers of this package modify it. Owned by
 * the control thread.
 */
public final class RetrySection {
    /**
     * Time for which a call avoids a server on which it failed. Limited, so that a call can return to the only
     * remaining server.
     */
    private static final long AVOIDANCE_NANOS = 500_000_000;

    private final RetryBudget budget = RetryBudget.create();
    private final Map<RequestId, AttemptHistory> histories = new HashMap<>();
    private final Map<RequestId, Progress> progress = new HashMap<>();
    private final Deque<RequestId> awaitingBudget = new ArrayDeque<>();
    private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>(Comparator.comparingLong(Deadline::nanos));

    private RetrySection() {}

    /** Returns an empty section. */
    public static RetrySection create() {
        return new RetrySection();
    }

    /** Returns whether a ready call must wait because the retry budget is exhausted. */
    public boolean awaitsBudget(RequestId request, long nowNanos) {
        AttemptHistory history = histories.get(request);
        return history != null && history.awaitsBudget();
    }

    /** Returns whether a call should not be sent to a server because it recently failed there. */
    public boolean avoids(RequestId request, ServerId server, long nowNanos) {
        AttemptHistory history = histories.get(request);
        return history != null && history.failedSince(server, nowNanos - AVOIDANCE_NANOS);
    }

    /**
     * Returns the code of the problem because of which the next attempt of a call computes tokens again, or null if no
     * attempt failed.
     */
    public @Nullable String recomputationReason(RequestId request) {
        AttemptHistory history = histories.get(request);
        return history == null ? null : history.reason();
    }

    /** Returns whether any ended attempt of a live call may have run. */
    public ExecutionStatus ranSoFar(RequestId request) {
        AttemptHistory history = histories.get(request);
        return history == null ? ExecutionStatus.NO : history.ran();
    }

    /** Returns the number of calls that wait for the retry budget. */
    public int callsAwaitingBudget() {
        return awaitingBudget.size();
    }

    RetryBudget budget() {
        return budget;
    }

    Map<RequestId, AttemptHistory> histories() {
        return histories;
    }

    Map<RequestId, Progress> progress() {
        return progress;
    }

    Deque<RequestId> awaitingBudget() {
        return awaitingBudget;
    }

    PriorityQueue<Deadline> deadlines() {
        return deadlines;
    }

    void forget(RequestId request) {
        histories.remove(request);
        progress.remove(request);
    }

    /** Number of tokens counted for the current attempt of a call. */
    record Progress(AttemptId attempt, int tokens) {}

    /** The deadline of a call, on this host's monotonic clock. */
    record Deadline(long nanos, RequestId request) {}
}
