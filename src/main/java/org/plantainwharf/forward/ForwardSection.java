package org.plantainwharf.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.retry.RetryBudget;

/**
 * Section of the board, the state owned by the control thread, for forwarding: the requests in progress and the
 * statistics of servers gathered from them. Written by the forward controller.
 */
public final class ForwardSection {
    private final Map<Long, ForwardCall> calls = new LinkedHashMap<>();
    private final Map<ServerId, ServerStatistics> statistics = new HashMap<>();
    private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();
    private final Map<ServiceName, LongPromptPool> longPromptPool = new HashMap<>();

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

    void removeStatistics(ServerId server) {
        statistics.remove(server);
    }

    /** Returns the budget of a service. Ratio and minimum are used only by the first call, which creates the budget. */
    RetryBudget retryBudget(ServiceName service, double ratio, double minimum) {
        return retryBudgets.computeIfAbsent(service, name -> RetryBudget.create(ratio, minimum));
    }

    LongPromptPool longPromptPool(ServiceName service) {
        return longPromptPool.computeIfAbsent(service, name -> new LongPromptPool());
    }
}
