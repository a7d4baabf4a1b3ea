package org.plantainwharf.limit;

import java.util.concurrent.TimeUnit;

import org.plantainwharf.document.AccountRule;
import org.plantainwharf.message.AllowanceShare;

/**
 * An entry daemon's share of one account's limit. The debt of an account is what all daemons have forwarded for it and
 * its rate has not repaid yet. A daemon may forward its share of what the bucket depth leaves above the debt. A request
 * larger than that is forwarded as long as anything is left; the debt that it causes is shared by all daemons. Amounts
 * are tokens or requests, as the limit counts. Owned by the control thread.
 *
 * <p>All daemons see the same debt, so on many daemons something is left at the same moment, and one large request each
 * exceeds the bucket depth by the sum of their costs. Once the account has used its burst, or when the newest grant is
 * old, a daemon therefore rounds at random: it forwards a request only if a random fraction of its cost is left. What the
 * daemons forward together then is what is left on average, for any number of daemons and any size of requests.
 */
final class AccountAllowance {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Fraction of the bucket depth up to which daemons forward whole requests while their grants are recent. */
    private static final double SAFE_DEPTH_FRACTION = 0.5;

    /** Fraction of the safe debt at which rounding ends. */
    private static final double RESUMPTION_FRACTION = 0.25;

    /** Fraction of the bucket depth above the burst that rounded requests leave free. */
    private static final double RESERVE_FRACTION = 0.5;

    private double used;
    private double uncountedUse;
    private double debt;
    private double share;
    private long debtUpdatedNanos;
    private long repaidUntilNanos;
    private double roundingThreshold;
    private boolean rounding;

    /**
     * @param roundingThreshold random fraction of the next request's cost that must be left beyond the burst, 0 to 1
     */
    AccountAllowance(double share, double roundingThreshold, long nowNanos) {
        this.share = share;
        this.roundingThreshold = roundingThreshold;
        this.debtUpdatedNanos = nowNanos;
        this.repaidUntilNanos = nowNanos;
    }

    /**
     * Token bucket of the account over all daemons. Immutable.
     *
     * @param depth depth of the bucket, in tokens or requests
     * @param grantEndNanos end of the newest grant; afterwards the daemon's use is repaid only at a part of its own
     *     share of the rate
     */
    record Bucket(double depth, long grantEndNanos) {}

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

    /**
     * Returns whether this daemon may forward a request now.
     *
     * @param current whether the newest grant is recent, so that the debt includes what other daemons forward, or none
     *     has arrived yet
     */
    boolean admits(AccountRule account, double amount, Bucket bucket, boolean current, long nowNanos) {
        double available = available(account.ratePerSecond(), bucket.depth(), bucket.grantEndNanos(), nowNanos);
        updateRounding(account, amount, bucket, nowNanos);
        return available > 0 && (current && !rounding || available >= roundedAmount(account, amount, bucket, current));
    }

    /** Returns the time in milliseconds until this daemon may forward a request if the debt grows no further. */
    double millisUntilAdmitted(AccountRule account, double amount, Bucket bucket, boolean current, long nowNanos) {
        double rate = account.ratePerSecond();
        double available = available(rate, bucket.depth(), bucket.grantEndNanos(), nowNanos);
        double untilAvailable = Math.max(0, -available) / (share * rate);
        double untilRounded = Math.max(0, roundedAmount(account, amount, bucket, current) - available) / (share * rate);
        double excess = knownDebt(rate, nowNanos) - RESUMPTION_FRACTION * safeDebt(account, bucket);
        return Math.max(untilAvailable, Math.min(untilRounded, Math.max(0, excess) / rate)) * 1_000;
    }

    /**
     * Returns what must be left so that a request is forwarded when it is rounded. With recent grants a reserve stays
     * free for what daemons have forwarded without rounding while the debt grew.
     */
    private double roundedAmount(AccountRule account, double amount, Bucket bucket, boolean current) {
        double reserve = current ? RESERVE_FRACTION * Math.max(0, bucket.depth() - account.burst()) : 0;
        return roundingThreshold * amount + share * reserve;
    }

    /**
     * Rounding begins with the first request beyond the safe debt. It ends far below, because callers that were refused
     * send again: all daemons would forward their requests at the moment at which it ends. A request larger than the
     * burst needs only as much room as the burst, so that an account without debt may send it.
     */
    private void updateRounding(AccountRule account, double amount, Bucket bucket, long nowNanos) {
        double knownDebt = knownDebt(account.ratePerSecond(), nowNanos);
        double safeDebt = safeDebt(account, bucket);
        rounding = rounding
                ? knownDebt > RESUMPTION_FRACTION * safeDebt
                : knownDebt + Math.min(amount, account.burst()) > safeDebt;
    }

    /**
     * Returns the debt up to which daemons forward whole requests. The rest of the bucket depth and the tolerance above
     * it cover what they forward beside each other within a period.
     */
    private static double safeDebt(AccountRule account, Bucket bucket) {
        return Math.max(account.burst(), SAFE_DEPTH_FRACTION * bucket.depth());
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

    /** Charges a request that is forwarded, and sets the random fraction for the next one. */
    void charge(double amount, double nextRoundingThreshold) {
        used += amount;
        uncountedUse += amount;
        roundingThreshold = nextRoundingThreshold;
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
