package org.plantainwharf.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.retry.RetryBudget;

/** Requests that are passed on and what they taught of servers. Written by the forward controller. Owned by the control thread. */
public final class ForwardSection {
    private final Map<Long, ForwardCall> calls = new LinkedHashMap<>();
    private final Map<ServerId, ServerLedger> ledgers = new HashMap<>();
    private final Map<ServiceName, RetryBudget> retryBudgets = new HashMap<>();

    private final Map<ServiceName, PromptLanes> lanes = new HashMap<>();

    private ForwardSection() {}

    /** Returns an empty section. */
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

    ServerLedger ledger(ServerId server) {
        return ledgers.computeIfAbsent(server, id -> new ServerLedger());
    }

    void forgetLedger(ServerId server) {
        ledgers.remove(server);
    }

    RetryBudget retryBudget(ServiceName service, double share, double minimum) {
        return retryBudgets.computeIfAbsent(service, name -> RetryBudget.create(share, minimum));
    }

    PromptLanes lanes(ServiceName service) {
        return lanes.computeIfAbsent(service, name -> new PromptLanes());
    }
}
