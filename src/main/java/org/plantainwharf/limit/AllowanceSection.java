package org.plantainwharf.limit;

import java.util.HashMap;
import java.util.Map;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;

/**
 * Shares of account limits between daemons. Entry daemons keep the share granted to them; the leader of the control
 * group keeps what each of them asks for. Written by the allowance controller. Owned by the control thread.
 */
public final class AllowanceSection {
    private final Map<AccountName, Double> granted = new HashMap<>();
    private final Map<HostId, Demand> demands = new HashMap<>();
    private long grantedUntilNanos = Long.MIN_VALUE;

    /** What one daemon asked for. Immutable. */
    record Demand(Map<AccountName, Double> perSecond, long heardNanos) {
        Demand {
            perSecond = Map.copyOf(perSecond);
        }
    }

    private AllowanceSection() {}

    /** Returns a section without grants. */
    public static AllowanceSection create() {
        return new AllowanceSection();
    }

    /**
     * Returns this daemon's part of an account's limit.
     *
     * @param limit limit of the account over all daemons, in tokens or requests a second
     */
    public double share(AccountName account, double limit, long nowNanos) {
        double held = granted.getOrDefault(account, AllowanceController.FIRST_SHARE * limit);
        boolean valid = grantedUntilNanos != Long.MIN_VALUE && nowNanos - grantedUntilNanos < 0;
        // The leader gives the share of a daemon that it cannot reach to the others once the grant is over.
        return Math.min(limit, valid || granted.isEmpty() ? held : held * AllowanceController.CUT_OFF_PART);
    }

    void grant(Map<AccountName, Double> shares, long untilNanos) {
        granted.clear();
        granted.putAll(shares);
        grantedUntilNanos = untilNanos;
    }

    void ask(HostId host, Map<AccountName, Double> perSecond, long nowNanos) {
        demands.put(host, new Demand(perSecond, nowNanos));
    }

    Map<HostId, Demand> demands() {
        return demands;
    }
}
