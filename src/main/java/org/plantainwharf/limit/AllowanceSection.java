package org.plantainwharf.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.document.AccountRule;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.AllowanceShare;

/**
 * Limits of accounts over all daemons. Entry daemons keep their share of each limit; control daemons keep what all
 * entry daemons have forwarded. Amounts are tokens or requests, as the limit counts. Written by the allowance
 * controller, and by the forward controller, which charges and refunds requests. Owned by the control thread.
 */
public final class AllowanceSection {
    /**
     * Remaining validity from which on a grant is recent. It is half of the validity; a leader that grants every period
     * keeps the remaining validity above it.
     */
    private static final long RECENT_GRANT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(AllowanceController.GRANT_VALIDITY_MILLIS / 2);

    private final SplittableRandom random;
    private final Map<AccountName, AccountAllowance> allowances = new HashMap<>();
    private final UsageAggregator usage = new UsageAggregator();
    private double evenShare = AllowanceController.INITIAL_SHARE;
    private boolean hasGrant;
    private boolean grantEnded;
    private long grantEndNanos;
    private Optional<HostId> grantor = Optional.empty();

    private AllowanceSection(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Returns a section without grants.
     *
     * @param seed seed of the board; a sequence of its own keeps the number of draws here out of other decisions
     */
    public static AllowanceSection create(long seed) {
        return new AllowanceSection(seed);
    }

    /**
     * Charges an amount to an account's limit if anything is left of this daemon's share.
     *
     * @param bucketDepth depth of the account's token bucket over all daemons
     * @return false if nothing was left and nothing was charged
     */
    public boolean tryCharge(AccountRule account, double amount, double bucketDepth, long nowNanos) {
        AccountAllowance allowance = allowance(account, nowNanos);
        if (!allowance.admits(account, amount, bucket(bucketDepth, nowNanos), hasCurrentDebt(nowNanos), nowNanos)) {
            return false;
        }
        allowance.charge(amount, random.nextDouble());
        return true;
    }

    /** Refunds the charge of a request that has not run. */
    public void refund(AccountRule account, double amount, long nowNanos) {
        allowance(account, nowNanos).refund(amount);
    }

    /** Returns this daemon's share of an account's limit, 0 to 1. */
    public double share(AccountRule account, long nowNanos) {
        return allowance(account, nowNanos).share();
    }

    /** Returns the time in milliseconds until this daemon may forward a request of the account that costs the amount. */
    public long millisUntilAvailable(AccountRule account, double amount, double bucketDepth, long nowNanos) {
        return (long) Math.ceil(allowance(account, nowNanos)
                .millisUntilAdmitted(
                        account, amount, bucket(bucketDepth, nowNanos), hasCurrentDebt(nowNanos), nowNanos));
    }

    private AccountAllowance.Bucket bucket(double depth, long nowNanos) {
        return new AccountAllowance.Bucket(depth, effectiveGrantEndNanos(nowNanos));
    }

    /** Before the first grant only this daemon's own use is known, and its initial share bounds it. */
    private boolean hasCurrentDebt(long nowNanos) {
        return !hasGrant || grantEndNanos - nowNanos >= RECENT_GRANT_NANOS;
    }

    /** Before the first grant only this daemon's share of the rate repays its use, as after the end of a grant. */
    private long effectiveGrantEndNanos(long nowNanos) {
        return hasGrant ? grantEndNanos : nowNanos;
    }

    AccountAllowance allowance(AccountRule account, long nowNanos) {
        return allowances.computeIfAbsent(account.name(), name -> createAllowance(evenShare, nowNanos));
    }

    private AccountAllowance createAllowance(double share, long nowNanos) {
        return new AccountAllowance(share, random.nextDouble(), nowNanos);
    }

    boolean hasGrant() {
        return hasGrant;
    }

    /** Returns the leader of the control group as this entry daemon knows it: the sender of a recent grant. */
    Optional<HostId> leader(long nowNanos) {
        return hasGrant && hasCurrentDebt(nowNanos) ? grantor : Optional.empty();
    }

    /** Applies a grant. Accounts that it does not contain have no debt. */
    void applyGrant(
            HostId sender,
            double newEvenShare,
            Map<AccountName, AllowanceShare> shares,
            long newGrantEndNanos,
            long nowNanos) {
        hasGrant = true;
        grantor = Optional.of(sender);
        grantEnded = false;
        evenShare = newEvenShare;
        grantEndNanos = newGrantEndNanos;
        shares.keySet()
                .forEach(account ->
                        allowances.computeIfAbsent(account, name -> createAllowance(newEvenShare, nowNanos)));
        allowances.forEach((account, allowance) -> {
            if (shares.get(account) instanceof AllowanceShare granted) {
                allowance.applyGrant(granted, nowNanos);
            } else {
                allowance.applyGrantWithoutDebt(newEvenShare, nowNanos);
            }
        });
    }

    /** Returns the fraction of a limit that this daemon may use if no grant says otherwise. */
    public double evenShare() {
        return evenShare;
    }

    /** Returns true once after each grant, when it has ended without another one. */
    boolean endGrantIfDue(long nowNanos) {
        boolean ends = hasGrant && !grantEnded && nowNanos - grantEndNanos >= 0;
        grantEnded |= ends;
        return ends;
    }

    UsageAggregator usage() {
        return usage;
    }
}
