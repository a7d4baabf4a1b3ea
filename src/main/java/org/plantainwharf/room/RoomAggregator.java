package org.plantainwharf.room;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.room.RoomDemand.PriorityDemand;

/**
 * Adds up what all entry daemons are asked for and divides the room of each service. Invariants: a report replaces an
 * earlier one of the same start of its sender and never a later one; reports are forgotten after a time. Owned by the
 * control thread of a control daemon.
 */
final class RoomAggregator {
    /** Reports older than this are not counted. */
    private static final long REPORT_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Largest number of accounts that a grant lists at each priority of a service; bounds its size. */
    static final int MAXIMUM_GRANTED_ACCOUNTS = 16;

    private final Map<HostId, Report> reports = new LinkedHashMap<>();

    private record Report(long incarnation, long sequence, Map<ServiceName, RoomDemand> demands, long arrivedNanos) {}

    /** Adds a report of one daemon. */
    void addReport(HostId host, long incarnation, long sequence, Map<ServiceName, RoomDemand> demands, long nowNanos) {
        Report known = reports.get(host);
        if (known == null || known.incarnation() != incarnation || sequence > known.sequence()) {
            reports.put(host, new Report(incarnation, sequence, demands, nowNanos));
        }
    }

    /** Returns the daemons that have reported lately. */
    List<HostId> hosts(long nowNanos) {
        forgetOld(nowNanos);
        return List.copyOf(reports.keySet());
    }

    private void forgetOld(long nowNanos) {
        reports.values().removeIf(report -> nowNanos - report.arrivedNanos() >= REPORT_EXPIRY_NANOS);
    }

    /** Returns how the room of each service is shared. */
    Map<ServiceName, RoomShare> shares(long nowNanos) {
        Map<ServiceName, List<RoomDemand>> byService = new LinkedHashMap<>();
        forgetOld(nowNanos);
        reports.values().forEach(report -> report.demands().forEach((service, demand) -> byService
                .computeIfAbsent(service, key -> new ArrayList<>())
                .add(demand)));
        Map<ServiceName, RoomShare> shares = new HashMap<>();
        byService.forEach((service, demands) ->
                shares.put(service, RoomAllocation.divide(sum(demands), MAXIMUM_GRANTED_ACCOUNTS)));
        return shares;
    }

    /** Adds demands up. The capacity is the average estimate, in which a daemon counts by what it is asked for. */
    private static Map<Integer, PriorityDemand> sum(List<RoomDemand> demands) {
        Map<Integer, Double> weights = new HashMap<>();
        Map<Integer, PriorityDemand> sums = new HashMap<>();
        for (RoomDemand demand : demands) {
            demand.priorities().forEach((priority, asked) -> {
                double weight = 1 + asked.askedPerSecond();
                weights.merge(priority, weight, Double::sum);
                PriorityDemand weighted = new PriorityDemand(
                        asked.askedPerSecond(), weight * asked.capacityPerSecond(), asked.accounts());
                sums.merge(priority, weighted, RoomAggregator::sum);
            });
        }
        sums.replaceAll((priority, sum) -> new PriorityDemand(
                sum.askedPerSecond(), sum.capacityPerSecond() / weights.getOrDefault(priority, 1.0), sum.accounts()));
        return sums;
    }

    private static PriorityDemand sum(PriorityDemand first, PriorityDemand second) {
        Map<AccountName, Double> accounts = new HashMap<>(first.accounts());
        second.accounts().forEach((account, asked) -> accounts.merge(account, asked, Double::sum));
        return new PriorityDemand(
                first.askedPerSecond() + second.askedPerSecond(),
                first.capacityPerSecond() + second.capacityPerSecond(),
                accounts);
    }
}
