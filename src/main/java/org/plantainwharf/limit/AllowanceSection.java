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
    private final AllowanceLedger ledger = new AllowanceLedger();
    private double evenPart = AllowanceController.FIRST_PART;
    private boolean granted;
    private long grantedUntilNanos;

    private AllowanceSection() {}

    /** Returns a section without grants. */
    public static AllowanceSection create() {
        return new AllowanceSection();
    }

    /**
     * Takes an amount from an account's limit, if anything is left of this daemon's part.
     *
     * @param depth the most that all daemons together may have saved up
     */
    public boolean tryTake(AccountRule account, double amount, double depth, long nowNanos) {
        AccountAllowance allowance = allowance(account, nowNanos);
        if (allowance.available(account.ratePerSecond(), depth, untilNanos(nowNanos), nowNanos) <= 0) {
            return false;
        }
        allowance.take(amount);
        return true;
    }

    /** Gives back what a request took that has not run. */
    public void giveBack(AccountRule account, double amount, long nowNanos) {
        allowance(account, nowNanos).giveBack(amount);
    }

    /** Returns this daemon's part of an account's limit, 0 to 1. */
    public double part(AccountRule account, long nowNanos) {
        return allowance(account, nowNanos).part();
    }

    /** Returns the time until something is left of this daemon's part, in milliseconds. */
    public long millisUntilOpen(AccountRule account, double depth, long nowNanos) {
        AccountAllowance allowance = allowance(account, nowNanos);
        double missing = -allowance.available(account.ratePerSecond(), depth, untilNanos(nowNanos), nowNanos);
        return (long) Math.ceil(Math.max(0, missing) / (allowance.part() * account.ratePerSecond()) * 1_000);
    }

    /** Before the first grant a daemon pays its use by its own part of the rate. */
    private long untilNanos(long nowNanos) {
        return granted ? grantedUntilNanos : nowNanos;
    }

    AccountAllowance allowance(AccountRule account, long nowNanos) {
        return allowances.computeIfAbsent(account.name(), name -> new AccountAllowance(evenPart, nowNanos));
    }

    boolean granted() {
        return granted;
    }

    /** Takes a grant; accounts that it does not name owe nothing. */
    void grant(double newEvenPart, Map<AccountName, AllowanceShare> shares, long untilNanos, long nowNanos) {
        granted = true;
        evenPart = newEvenPart;
        grantedUntilNanos = untilNanos;
        shares.keySet()
                .forEach(account ->
                        allowances.computeIfAbsent(account, name -> new AccountAllowance(newEvenPart, nowNanos)));
        allowances.forEach((account, allowance) -> {
            if (shares.get(account) instanceof AllowanceShare share) {
                allowance.grant(share, nowNanos);
            } else {
                allowance.grantIdle(newEvenPart, nowNanos);
            }
        });
    }

    AllowanceLedger ledger() {
        return ledger;
    }
}
