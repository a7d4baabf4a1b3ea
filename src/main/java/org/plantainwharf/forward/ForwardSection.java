package org.plantainwharf.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.observation.ObservationSection;
import org.plantainwharf.observation.ServerObservation;
import org.plantainwharf.observation.ServerStart;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.retry.RetryBudget;

/**
 * Section of the board, the state owned by the control thread, for forwarding: the requests in progress and the
 * statistics of servers gathered from them. Written by the forward controller.
 */
public final class ForwardSection {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<Long, ForwardCall> calls = new LinkedHashMap<>();
    private final Map<ServerId, ServerStatistics> statistics = new HashMap<>();
    private final Map<ServerStart, ServerStatistics> byStart = new HashMap<>();
    private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<ServiceName, LongPromptPool> longPromptPool = new HashMap<>();
    private final Map<ServiceName, EngineProfile> engineProfiles = new HashMap<>();
    private final Map<ServiceName, Double> nextReturnMillis = new HashMap<>();

    private OptionalLong missingDocumentNanos = OptionalLong.empty();

    private ForwardSection() {}

    public static ForwardSection create() {
        return new ForwardSection();
    }

    /** Returns a request that has not ended. */
    public Optional<ForwardCall> call(long ticket) {
        return Optional.ofNullable(calls.get(ticket));
    }

    /** Returns every request that has not ended. */
    public Collection<ForwardCall> calls() {
        return calls.values();
    }

    void put(ForwardCall call) {
        calls.put(call.ticket(), call);
    }

    void remove(long ticket) {
        calls.remove(ticket);
    }

    ServerStatistics statistics(ServerId server) {
        return statistics.computeIfAbsent(server, id -> new ServerStatistics());
    }

    /** Returns whether this daemon sends nothing to a server because of failures or overdue answers. */
    public boolean avoids(ServerId server, long nowNanos) {
        ServerStatistics known = statistics.get(server);
        return known != null && known.isAvoided(nowNanos);
    }

    /** Returns the statistics of the start of a server that its report names. */
    ServerStatistics statistics(ServerReport report, ObservationSection observations) {
        ServerStatistics known = statistics(report.server());
        if (report.startEpochMillis() != known.startEpochMillis()) {
            byStart.remove(known.start());
            ServerStart start = ServerStart.of(report.server(), report.startEpochMillis());
            known.beginStart(start, report.startEpochMillis());
            byStart.put(start, known);
            observations.server(start).ifPresent(known::recordSeen);
        }
        return known;
    }

    /** Adopts what other daemons have seen of one start of a server, if this daemon may send requests there. */
    void adopt(ServerStart start, ObservationSection observations) {
        @Nullable ServerStatistics known = byStart.get(start);
        if (known != null) {
            observations.server(start).ifPresent(known::recordSeen);
        }
    }

    /**
     * Returns what servers have said to this daemon since a time, newest first, at most {@code maximum}. For the observation
     * controller.
     */
    public List<ServerObservation> seenSince(long sinceNanos, int maximum, long nowNanos) {
        return statistics.values().stream()
                .flatMap(known -> known.seenSince(sinceNanos, nowNanos).stream())
                .sorted(Comparator.comparingInt(ServerObservation::ageMillis))
                .limit(maximum)
                .toList();
    }

    /** Removes the statistics of forgotten servers at which no request is running. */
    void removeStatistics(Predicate<ServerId> forgotten) {
        statistics.entrySet().removeIf(entry -> {
            boolean removed = entry.getValue().inFlight() == 0 && forgotten.test(entry.getKey());
            if (removed) {
                byStart.remove(entry.getValue().start());
            }
            return removed;
        });
    }

    /** Returns the budget of a service. Ratio and minimum are used only by the first call, which creates the budget. */
    RetryBudget retryBudget(ServiceName service, double ratio, double minimum) {
        return retryBudgets.computeIfAbsent(service, name -> RetryBudget.create(ratio, minimum));
    }

    /** Returns when the first request arrived that found no service document in force: now if there was none. */
    long missingDocumentSince(long nowNanos) {
        if (missingDocumentNanos.isEmpty()) {
            missingDocumentNanos = OptionalLong.of(nowNanos);
        }
        return missingDocumentNanos.getAsLong();
    }

    /**
     * Returns after how many milliseconds a refused caller should return, and reserves the time for it.
     *
     * @param earliestMillis time until the next request is accepted
     * @param ratePerSecond rate at which requests are accepted then
     * @param latestMillis latest time that is given to callers; the next one gets the earliest again
     */
    long reserveReturn(
            ServiceName service, long earliestMillis, double ratePerSecond, long latestMillis, long nowNanos) {
        long nowMillis = nowNanos / 1_000_000;
        double reserved = nextReturnMillis.getOrDefault(service, 0.0) - nowMillis;
        double wait = reserved > latestMillis ? earliestMillis : Math.max(earliestMillis, reserved);
        nextReturnMillis.put(service, nowMillis + wait + MILLIS_PER_SECOND / ratePerSecond);
        return (long) Math.ceil(wait);
    }

    LongPromptPool longPromptPool(ServiceName service) {
        return longPromptPool.computeIfAbsent(service, name -> new LongPromptPool());
    }

    /** Returns what has been learned about the engines of a service; with initial values if there is nothing yet. */
    public EngineProfile engineProfile(ServiceName service) {
        return engineProfiles.computeIfAbsent(service, name -> EngineProfile.create());
    }
}
