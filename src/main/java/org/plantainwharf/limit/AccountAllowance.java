package org.plantainwharf.limit;

import java.util.concurrent.TimeUnit;

import org.plantainwharf.message.AllowanceShare;

/**
 * An entry daemon's share of one account's limit. The debt of an account is what all daemons have forwarded for it and
 * its rate has not repaid yet. A daemon may forward its share of what the bucket depth leaves above the debt. A request
 * larger than that is forwarded as long as anything is left; the debt that it causes is shared by all daemons. Amounts
 * are tokens or requests, as the limit counts. Owned by the control thread.
 */
final class AccountAllowance {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double used;
    private double uncountedUse;
    private double debt;
    private double share;
    private long debtUpdatedNanos;
    private long repaidUntilNanos;

    AccountAllowance(double share, long nowNanos) {
        this.share = share;
        this.debtUpdatedNanos = nowNanos;
        this.repaidUntilNanos = nowNanos;
    }

    void applyGrant(AllowanceShare granted, long nowNanos) {
        debt = granted.debt();
        share = granted.fraction();
        uncountedUse = used - granted.includedUse();
        debtUpdatedNanos = nowNanos;
        repaidUntilNanos = nowNanos;
    }

    /** Applies a grant that does not contain the account because the account has no debt. */
    void applyGrantWithoutDebt(double evenShare, long nowNanos) {
        applyGrant(new AllowanceShare(0, used - uncountedUse, evenShare), nowNanos);
    }

    /**
     * Returns the amount that this daemon may still forward; nothing if it is 0 or less.
     *
     * @param bucketDepth depth of the account's token bucket over all daemons
     * @param grantEndNanos end of the newest grant; afterwards the daemon's use is repaid only at a part of its own
     *     share of the rate
     */
    double available(double ratePerSecond, double bucketDepth, long grantEndNanos, long nowNanos) {
        repayWithoutGrant(ratePerSecond, grantEndNanos, nowNanos);
        return share * (bucketDepth - debtAt(ratePerSecond, Math.min(nowNanos, grantEndNanos))) - uncountedUse;
    }

    /** Returns the debt of the account over all daemons as far as this daemon knows it. */
    double knownDebt(double ratePerSecond, long nowNanos) {
        return debtAt(ratePerSecond, nowNanos) + Math.max(0, uncountedUse);
    }

    private double debtAt(double ratePerSecond, long atNanos) {
        return Math.max(0, debt - ratePerSecond * Math.max(0, atNanos - debtUpdatedNanos) / NANOS_PER_SECOND);
    }

    private void repayWithoutGrant(double ratePerSecond, long grantEndNanos, long nowNanos) {
        long fromNanos = Math.max(repaidUntilNanos, grantEndNanos);
        if (nowNanos - fromNanos > 0) {
            double minimum = -share * debtAt(ratePerSecond, grantEndNanos);
            double rate = share * ratePerSecond * AllowanceController.DISCONNECTED_RATE_FRACTION;
            double repaid = rate * (nowNanos - fromNanos) / NANOS_PER_SECOND;
            uncountedUse = Math.min(uncountedUse, Math.max(minimum, uncountedUse - repaid));
            repaidUntilNanos = nowNanos;
        }
    }

    void charge(double amount) {
        used += amount;
        uncountedUse += amount;
    }

    /** Refunds the charge of a request that has not run. */
    void refund(double amount) {
        used -= amount;
        uncountedUse -= amount;
    }

    /** Returns the amount charged since the start of the process, less refunds. */
    double used() {
        return used;
    }

    /** Returns whether the newest grant has counted all use of this daemon. */
    boolean fullyCounted() {
        return uncountedUse == 0;
    }

    /** Returns this daemon's share of the limit, 0 to 1. */
    double share() {
        return share;
    }
}
