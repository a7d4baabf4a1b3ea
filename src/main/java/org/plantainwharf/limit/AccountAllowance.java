package org.plantainwharf.limit;

import java.util.concurrent.TimeUnit;

import org.plantainwharf.message.AllowanceShare;

/**
 * An entry daemon's part of one account's limit. The account owes what all daemons have passed on for it until the rate
 * has paid for it; a daemon may pass on its part of what the limit leaves above that debt. A request larger than that
 * part is let through as long as anything is left, and all daemons share the debt that it leaves. Amounts are tokens or
 * requests, as the limit counts. Owned by the control thread.
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

    /** Takes a newer grant. */
    void applyGrant(AllowanceShare granted, long nowNanos) {
        debt = granted.debt();
        share = granted.part();
        uncountedUse = used - granted.counted();
        debtUpdatedNanos = nowNanos;
        repaidUntilNanos = nowNanos;
    }

    /** Takes a grant that does not name the account, since nothing is owed for it. */
    void applyGrantWithoutDebt(double evenShare, long nowNanos) {
        applyGrant(new AllowanceShare(0, used - uncountedUse, evenShare), nowNanos);
    }

    /**
     * Returns what this daemon may still pass on; none when 0 or less.
     *
     * @param bucketDepth the most that all daemons together may have saved up
     * @param grantEndNanos end of the newest grant; after it this daemon's own part of the rate alone pays its use
     */
    double available(double ratePerSecond, double bucketDepth, long grantEndNanos, long nowNanos) {
        repayWithoutGrant(ratePerSecond, grantEndNanos, nowNanos);
        return share * (bucketDepth - debtAt(ratePerSecond, Math.min(nowNanos, grantEndNanos))) - uncountedUse;
    }

    /** Returns the debt of all daemons as far as it is known here. */
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

    /** Gives back what a request took that has not run. */
    void refund(double amount) {
        used -= amount;
        uncountedUse -= amount;
    }

    double used() {
        return used;
    }

    boolean fullyCounted() {
        return uncountedUse == 0;
    }

    double share() {
        return share;
    }
}
