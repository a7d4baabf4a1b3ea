package org.plantainwharf.bench;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.sheet.Rank;

/** Times and outcome of one simulated call. Times are in virtual time. Owned by the run; not thread-safe. */
final class CallSample {
    private final Rank rank;
    private final AccountName account;
    private final double arrivalSeconds;
    private double firstTokenSeconds = Double.NaN;
    private double firstAttemptSeconds = Double.NaN;
    private boolean completed;
    private String failure = "";

    CallSample(Rank rank, AccountName account, double arrivalSeconds) {
        this.rank = rank;
        this.account = account;
        this.arrivalSeconds = arrivalSeconds;
    }

    Rank rank() {
        return rank;
    }

    AccountName account() {
        return account;
    }

    double arrivalSeconds() {
        return arrivalSeconds;
    }

    /** Records the time of the first token; later calls have no effect. */
    void recordFirstToken(double seconds) {
        if (Double.isNaN(firstTokenSeconds)) {
            firstTokenSeconds = seconds;
        }
    }

    /** Records the time of the first attempt; later calls have no effect. */
    void recordAttempt(double seconds) {
        if (Double.isNaN(firstAttemptSeconds)) {
            firstAttemptSeconds = seconds;
        }
    }

    /** Returns the time to the first attempt in milliseconds, NaN if no attempt was sent. */
    double firstAttemptMillis() {
        return 1_000 * (firstAttemptSeconds - arrivalSeconds);
    }

    void recordCompletion() {
        completed = true;
    }

    void recordFailure(String code) {
        failure = code;
    }

    /** Returns the error code, empty if the call did not fail. */
    String failure() {
        return failure;
    }

    /** Returns the time to the first token in milliseconds, NaN if none arrived. */
    double firstTokenMillis() {
        return 1_000 * (firstTokenSeconds - arrivalSeconds);
    }

    /** Returns whether the answer was complete and its first token arrived within the latency target of the rank. */
    boolean inTarget() {
        return completed && failure.isEmpty() && firstTokenSeconds - arrivalSeconds <= rank.latencyTargetMillis() / 1e3;
    }
}
