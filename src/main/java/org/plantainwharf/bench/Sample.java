package org.plantainwharf.bench;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.sheet.Rank;

/** What became of one call of a run. Mutable; owned by the run. */
final class Sample {
    private final Rank rank;
    private final AccountName account;
    private final double arrivedSeconds;
    private double firstSeconds = Double.NaN;
    private double sentSeconds = Double.NaN;
    private boolean finished;
    private String failure = "";

    Sample(Rank rank, AccountName account, double arrivedSeconds) {
        this.rank = rank;
        this.account = account;
        this.arrivedSeconds = arrivedSeconds;
    }

    Rank rank() {
        return rank;
    }

    AccountName account() {
        return account;
    }

    double arrivedSeconds() {
        return arrivedSeconds;
    }

    void first(double seconds) {
        if (Double.isNaN(firstSeconds)) {
            firstSeconds = seconds;
        }
    }

    void sent(double seconds) {
        if (Double.isNaN(sentSeconds)) {
            sentSeconds = seconds;
        }
    }

    /** Returns the time to the first attempt in milliseconds, not a number without one. */
    double sentMillis() {
        return 1_000 * (sentSeconds - arrivedSeconds);
    }

    void finish() {
        finished = true;
    }

    void fail(String code) {
        failure = code;
    }

    String failure() {
        return failure;
    }

    /** Returns the time to the first token in milliseconds, not a number without one. */
    double firstMillis() {
        return 1_000 * (firstSeconds - arrivedSeconds);
    }

    /** Says whether the first token came within the rank's target and the answer was whole. */
    boolean inTarget() {
        return finished && failure.isEmpty() && firstSeconds - arrivedSeconds <= rank.latencyTargetMillis() / 1e3;
    }
}
