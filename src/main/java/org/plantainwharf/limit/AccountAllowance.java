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
    private double uncounted;
    private double debt;
    private double part;
    private long debtNanos;
    private long paidNanos;

    AccountAllowance(double part, long nowNanos) {
        this.part = part;
        this.debtNanos = nowNanos;
        this.paidNanos = nowNanos;
    }

    /** Takes a newer grant. */
    void grant(AllowanceShare share, long nowNanos) {
        debt = share.debt();
        part = share.part();
        uncounted = used - share.counted();
        debtNanos = nowNanos;
        paidNanos = nowNanos;
    }

    /** Takes a grant that does not name the account, since nothing is owed for it. */
    void grantIdle(double evenPart, long nowNanos) {
        grant(new AllowanceShare(0, used - uncounted, evenPart), nowNanos);
    }

    /**
     * Returns what this daemon may still pass on; none when 0 or less.
     *
     * @param depth the most that all daemons together may have saved up
     * @param untilNanos end of the newest grant; after it this daemon's own part of the rate alone pays its use
     */
    double available(double ratePerSecond, double depth, long untilNanos, long nowNanos) {
        payAlone(ratePerSecond, untilNanos, nowNanos);
        return part * (depth - debtAt(ratePerSecond, Math.min(nowNanos, untilNanos))) - uncounted;
    }

    /** Returns the debt of all daemons as far as it is known here. */
    double knownDebt(double ratePerSecond, long nowNanos) {
        return debtAt(ratePerSecond, nowNanos) + Math.max(0, uncounted);
    }

    private double debtAt(double ratePerSecond, long atNanos) {
        return Math.max(0, debt - ratePerSecond * Math.max(0, atNanos - debtNanos) / NANOS_PER_SECOND);
    }

    private void payAlone(double ratePerSecond, long untilNanos, long nowNanos) {
        long fromNanos = Math.max(paidNanos, untilNanos);
        if (nowNanos - fromNanos > 0) {
            double least = -part * debtAt(ratePerSecond, untilNanos);
            double rate = part * ratePerSecond * AllowanceController.CUT_OFF_PART;
            double paid = rate * (nowNanos - fromNanos) / NANOS_PER_SECOND;
            uncounted = Math.min(uncounted, Math.max(least, uncounted - paid));
            paidNanos = nowNanos;
        }
    }

    void take(double amount) {
        used += amount;
        uncounted += amount;
    }

    /** Gives back what a request took that has not run. */
    void giveBack(double amount) {
        used -= amount;
        uncounted -= amount;
    }

    double used() {
        return used;
    }

    boolean settled() {
        return uncounted == 0;
    }

    double part() {
        return part;
    }
}
