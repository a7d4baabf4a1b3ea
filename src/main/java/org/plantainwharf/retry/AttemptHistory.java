package org.plantainwharf.retry;

import java.util.HashMap;
import java.util.Map;

import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.ServerId;

/** The failed attempts of a live call, kept until the call ends. Owned by the control thread. */
final class AttemptHistory {
    private final Map<ServerId, Long> failedAt = new HashMap<>();
    private ExecutionStatus ran = ExecutionStatus.NO;
    private String reason;
    private Failure failure;
    private boolean awaitsBudget;
    private long awaitingSinceNanos;

    private AttemptHistory(String reason, Failure failure) {
        this.reason = reason;
        this.failure = failure;
    }

    static AttemptHistory create(String reason, Failure failure) {
        return new AttemptHistory(reason, failure);
    }

    void add(ServerId server, long nowNanos, ExecutionStatus attemptRan, String attemptReason, Failure attemptFailure) {
        failedAt.put(server, nowNanos);
        reason = attemptReason;
        failure = attemptFailure;
        if (attemptRan != ExecutionStatus.NO && ran != ExecutionStatus.YES) {
            ran = attemptRan;
        }
    }

    boolean failedSince(ServerId server, long nanos) {
        Long at = failedAt.get(server);
        return at != null && at - nanos > 0;
    }

    /** Returns whether any failed attempt ran; {@code NO} only if it is certain that none did. */
    ExecutionStatus ran() {
        return ran;
    }

    /** Returns the code of the latest problem. */
    String reason() {
        return reason;
    }

    /** Returns the failure to report to the caller if no further attempt succeeds. */
    Failure failure() {
        return failure.withExecutionStatus(ran);
    }

    /** Returns whether the next attempt waits for the retry budget. */
    boolean awaitsBudget() {
        return awaitsBudget;
    }

    long awaitingSinceNanos() {
        return awaitingSinceNanos;
    }

    void awaitBudget(long nowNanos) {
        awaitsBudget = true;
        awaitingSinceNanos = nowNanos;
    }

    void stopAwaitingBudget() {
        awaitsBudget = false;
    }
}
