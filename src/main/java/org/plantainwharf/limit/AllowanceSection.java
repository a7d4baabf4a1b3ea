package org.plantainwharf.limit;

import java.util.HashMap;
import java.util.Map;

import org.plantainwharf.document.AccountRule;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.message.AllowanceShare;

/**
 * Limits of accounts over all daemons. Entry daemons keep their part of each limit; control daemons keep what all entry
 * daemons have passed on. Amounts are tokens or requests, as the limit counts. Written by the allowance controller, and
 * by the forward controller, which takes and gives back. Owned by the control thread.
 */
public final class AllowanceSection {
    private final Map<AccountName, AccountAllowance> allowances = new HashMap<>();
    private final UsageAggregator usage = new UsageAggregator();
    private double evenShare = AllowanceController.INITIAL_SHARE;
    private boolean hasGrant;
    private long grantEndNanos;

    private AllowanceSection() {}

    /** Returns a section without grants. */
    public static AllowanceSection create() {
        return new AllowanceSection();
    }

    /**
     * Takes an amount from an account's limit, if anything is left of this daemon's part.
     *
     * @param bucketDepth the most that all daemons together may have saved up
     */
    public boolean tryCharge(AccountRule account, double amount, double bucketDepth, long nowNanos) {
        AccountAllowance allowance = allowance(account, nowNanos);
        if (allowance.available(account.ratePerSecond(), bucketDepth, effectiveGrantEndNanos(nowNanos), nowNanos)
                <= 0) {
            return false;
        }
        allowance.charge(amount);
        return true;
    }

    /** Gives back what a request took that has not run. */
    public void refund(AccountRule account, double amount, long nowNanos) {
        allowance(account, nowNanos).refund(amount);
    }

    /** Returns this daemon's part of an account's limit, 0 to 1. */
    public double share(AccountRule account, long nowNanos) {
        return allowance(account, nowNanos).share();
    }

    /** Returns the time until something is left of this daemon's part, in milliseconds. */
    public long millisUntilAvailable(AccountRule account, double bucketDepth, long nowNanos) {
        AccountAllowance allowance = allowance(account, nowNanos);
        double deficit =
                -allowance.available(account.ratePerSecond(), bucketDepth, effectiveGrantEndNanos(nowNanos), nowNanos);
        return (long) Math.ceil(Math.max(0, deficit) / (allowance.share() * account.ratePerSecond()) * 1_000);
    }

    /** Before the first grant a daemon pays its use by its own part of the rate. */
    private long effectiveGrantEndNanos(long nowNanos) {
        return hasGrant ? grantEndNanos : nowNanos;
    }

    AccountAllowance allowance(AccountRule account, long nowNanos) {
        return allowances.computeIfAbsent(account.name(), name -> new AccountAllowance(evenShare, nowNanos));
    }

    boolean hasGrant() {
        return hasGrant;
    }

    /** Takes a grant; accounts that it does not name owe nothing. */
    void applyGrant(
            double newEvenShare, Map<AccountName, AllowanceShare> shares, long newGrantEndNanos, long nowNanos) {
        hasGrant = true;
        evenShare = newEvenShare;
        grantEndNanos = newGrantEndNanos;
        shares.keySet()
                .forEach(account ->
                        allowances.computeIfAbsent(account, name -> new AccountAllowance(newEvenShare, nowNanos)));
        allowances.forEach((account, allowance) -> {
            if (shares.get(account) instanceof AllowanceShare granted) {
                allowance.applyGrant(granted, nowNanos);
            } else {
                allowance.applyGrantWithoutDebt(newEvenShare, nowNanos);
            }
        });
    }

    UsageAggregator usage() {
        return usage;
    }
}
