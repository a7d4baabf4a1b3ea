package org.plantainwharf.bench;

import java.util.List;

import org.plantainwharf.identity.AccountName;

/**
 * Size and ordinary load of a firm's deployment, taken from the design page. Rates are totals over all hosts.
 * Immutable.
 *
 * @param name name of the firm
 * @param entryHosts number of entry hosts, spread over four zones
 * @param engines number of model engines, spread over four zones
 * @param services number of servers of the plain service, one in each zone
 * @param crossZoneMillis one-way network delay between zones
 * @param callerMillis one-way network delay between callers and entry hosts
 * @param urgentPerSecond rate of urgent model calls
 * @param normalPerSecond rate of ordinary model calls
 * @param batchPerSecond rate of long model calls of the lowest rank
 * @param lookupsPerSecond rate of urgent plain service calls
 */
record DeploymentProfile(
        String name,
        int entryHosts,
        int engines,
        int services,
        double crossZoneMillis,
        double callerMillis,
        double urgentPerSecond,
        double normalPerSecond,
        double batchPerSecond,
        double lookupsPerSecond) {
    static final int ZONES = 4;

    /** Client accounts with their shares of the calls; two accounts send 70% of them. */
    static final List<AccountShare> ACCOUNTS = List.of(
            new AccountShare(AccountName.of("large-1"), 0.4),
            new AccountShare(AccountName.of("large-2"), 0.3),
            new AccountShare(AccountName.of("middle"), 0.15),
            new AccountShare(AccountName.of("small-1"), 0.1),
            new AccountShare(AccountName.of("small-2"), 0.05));

    static List<DeploymentProfile> all() {
        return List.of(
                new DeploymentProfile("Klamerka", 8, 8, 4, 1.5, 1, 8, 5, 2, 40),
                new DeploymentProfile("Kegelbond", 8, 6, 4, 0.5, 3, 14, 3, 1, 20));
    }

    /**
     * A client account and its load.
     *
     * @param share fraction of all calls
     */
    record AccountShare(AccountName account, double share) {}
}
