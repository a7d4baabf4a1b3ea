package org.plantainwharf.bench;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.sheet.Rank;

/** What became of one call of a run. Mutable; owned by the run. */
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

    void recordFirstToken(double seconds) {
        if (Double.isNaN(firstTokenSeconds)) {
            firstTokenSeconds = seconds;
        }
    }

    void recordAttempt(double seconds) {
        if (Double.isNaN(firstAttemptSeconds)) {
            firstAttemptSeconds = seconds;
        }
    }

    /** Returns the time to the first attempt in milliseconds, not a number without one. */
    double firstAttemptMillis() {
        return 1_000 * (firstAttemptSeconds - arrivalSeconds);
    }

    void recordCompletion() {
        completed = true;
    }

    void recordFailure(String code) {
        failure = code;
    }

    String failure() {
        return failure;
    }

    /** Returns the time to the first token in milliseconds, not a number without one. */
    double firstTokenMillis() {
        return 1_000 * (firstTokenSeconds - arrivalSeconds);
    }

    /** Says whether the first token came within the rank's target and the answer was whole. */
    boolean inTarget() {
        return completed && failure.isEmpty() && firstTokenSeconds - arrivalSeconds <= rank.latencyTargetMillis() / 1e3;
    }
}
