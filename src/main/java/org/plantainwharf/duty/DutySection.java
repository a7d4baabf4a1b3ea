package org.plantainwharf.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.ServiceDemand;

/**
 * Fencing number, usage counts and reported demand. Written by the controllers of this package. Owned by the control
 * thread.
 */
public final class DutySection {
    private final TreeMap<Long, Map<HostId, Map<AccountName, Long>>> usage = new TreeMap<>();
    private final Map<HostId, ReportedDemand> demands = new HashMap<>();
    private @Nullable Long fencingNumber;

    /**
     * Latest demand report of one daemon. Immutable.
     *
     * @param receivedNanos when the report arrived, on this host's monotonic clock
     */
    record ReportedDemand(Map<ServiceName, ServiceDemand> demands, long receivedNanos) {
        ReportedDemand {
            demands = Map.copyOf(demands);
        }
    }

    private DutySection() {}

    /** Returns an empty section. */
    public static DutySection create() {
        return new DutySection();
    }

    /** Returns the fencing number under which this daemon is the duty holder, or empty if it is not. */
    public OptionalLong fencingNumber() {
        return fencingNumber == null ? OptionalLong.empty() : OptionalLong.of(fencingNumber);
    }

    void setFencingNumber(long number) {
        fencingNumber = number;
    }

    void clearFencingNumber() {
        fencingNumber = null;
    }

    /** Replaces the counts that a daemon reported for a window. */
    void putUsage(long window, HostId host, Map<AccountName, Long> requests) {
        usage.computeIfAbsent(window, key -> new HashMap<>()).put(host, requests);
    }

    /** Returns the counts of a window, summed over the daemons that reported them; empty if none did. */
    Map<AccountName, Long> usage(long window) {
        Map<AccountName, Long> sum = new HashMap<>();
        usage.getOrDefault(window, Map.of())
                .values()
                .forEach(counts -> counts.forEach((account, count) -> sum.merge(account, count, Long::sum)));
        return sum;
    }

    void removeUsageBefore(long window) {
        usage.headMap(window).clear();
    }

    void putDemand(HostId host, Map<ServiceName, ServiceDemand> reported, long nowNanos) {
        demands.put(host, new ReportedDemand(reported, nowNanos));
    }

    Map<HostId, ReportedDemand> demands() {
        return demands;
    }
}
