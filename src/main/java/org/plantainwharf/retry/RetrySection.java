package org.plantainwharf.retry;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.error.Ran;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.ServerId;

/**
 * Retry budget, failed attempts of live calls, and deadlines. Written by the controllers of this package. Owned by the
 * control thread.
 */
public final class RetrySection {
    /** Time for which a call avoids a server on which it failed; afterwards the only server left may be tried again. */
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

    /** Says whether a ready call must wait, because the retry budget is used up. */
    public boolean holds(RequestId request, long nowNanos) {
        AttemptHistory history = histories.get(request);
        return history != null && history.awaitsBudget();
    }

    /** Says whether a call should not be sent to a server, because it failed there just now. */
    public boolean avoids(RequestId request, ServerId server, long nowNanos) {
        AttemptHistory history = histories.get(request);
        return history != null && history.failedSince(server, nowNanos - AVOIDANCE_NANOS);
    }

    /** Returns the code of the problem that makes the next attempt of a call compute again, null if none does. */
    public @Nullable String recomputationReason(RequestId request) {
        AttemptHistory history = histories.get(request);
        return history == null ? null : history.reason();
    }

    /** Says whether any attempt of a live call that ended so far may have run. */
    public Ran ranSoFar(RequestId request) {
        AttemptHistory history = histories.get(request);
        return history == null ? Ran.NO : history.ran();
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

    /** Tokens counted for the running attempt of a call. */
    record Progress(AttemptId attempt, int tokens) {}

    /** When a call's answer stops being of use. */
    record Deadline(long nanos, RequestId request) {}
}
