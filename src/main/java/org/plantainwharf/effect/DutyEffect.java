package org.plantainwharf.effect;

import java.util.Map;

import org.plantainwharf.duty.Pool;
import org.plantainwharf.identity.AccountName;

/** Calls to the cloud API that one daemon makes at a time. Immutable. */
public sealed interface DutyEffect extends Effect {
    /** Reports the requests that began to run in a window. */
    record ReportUsage(long window, Map<AccountName, Long> requests, long fencingNumber) implements DutyEffect {
        /** Copies the map. */
        public ReportUsage {
            requests = Map.copyOf(requests);
        }
    }

    /** Orders an absolute number of servers. */
    record OrderServers(Pool pool, int servers, long fencingNumber) implements DutyEffect {}
}
