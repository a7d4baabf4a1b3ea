package org.plantainwharf.effect;

import java.util.Map;

import org.plantainwharf.duty.ServerPool;
import org.plantainwharf.identity.AccountName;

/** Calls to the cloud API that only one daemon makes at a time. Immutable. */
public sealed interface DutyEffect extends Effect {
    /** Reports for each account the number of requests that began to run in a usage window. */
    record ReportUsage(long window, Map<AccountName, Long> requests, long fencingNumber) implements DutyEffect {
        /** Copies the map. */
        public ReportUsage {
            requests = Map.copyOf(requests);
        }
    }

    /**
     * Orders capacity in a pool.
     *
     * @param serverCount total number of servers wanted, not a change
     */
    record OrderServers(ServerPool pool, int serverCount, long fencingNumber) implements DutyEffect {}
}
