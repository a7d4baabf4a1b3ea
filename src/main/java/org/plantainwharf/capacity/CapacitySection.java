package org.plantainwharf.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.replicated.Command;

/** Hosts, starts, prices and engine orders. Written by the controllers of this package. Owned by the control thread. */
public final class CapacitySection {
    /** A command that this host wants committed, kept until it is decided. */
    record PendingProposal(Command command, long sentNanos) {}

    private final Map<CapacityPool, CapacityPoolHistory> histories = new HashMap<>();
    private final Map<String, PendingProposal> pending = new LinkedHashMap<>();
    private final Map<String, Long> startOrderedNanos = new HashMap<>();
    private final Map<String, Long> startFinishedNanos = new HashMap<>();
    private final Map<ServerId, EngineOrder> engineOrders = new LinkedHashMap<>();
    private Optional<Leadership> leadership = Optional.empty();
    private OptionalLong lastLoadNanos = OptionalLong.empty();
    private OptionalLong lastReviewNanos = OptionalLong.empty();
    private OptionalLong shortSinceNanos = OptionalLong.empty();
    private long startCount;
    private int wantedHosts;

    /**
     * This host's leadership of the control group.
     *
     * @param fencingNumber committed for this term, 0 until then
     */
    record Leadership(long term, long fencingNumber, long sinceNanos) {}

    private CapacitySection() {}

    /** Returns an empty section. */
    public static CapacitySection create() {
        return new CapacitySection();
    }

    /** Returns the wanted number of backend server hosts at the last review, 0 on a host that does not lead. */
    public int wantedHosts() {
        return wantedHosts;
    }

    void setWantedHosts(int value) {
        wantedHosts = value;
    }

    Optional<Leadership> leadership() {
        return leadership;
    }

    /** Begins or ends a leadership. Orders of an earlier one are forgotten; starts stay in the replicated state. */
    void setLeadership(Optional<Leadership> value) {
        leadership = value;
        pending.clear();
        startOrderedNanos.clear();
        engineOrders.clear();
        shortSinceNanos = OptionalLong.empty();
        wantedHosts = 0;
    }

    void setFencingNumber(Leadership current, long number) {
        leadership = Optional.of(new Leadership(current.term(), number, current.sinceNanos()));
    }

    CapacityPoolHistory history(CapacityPool place, long nowNanos) {
        return histories.computeIfAbsent(place, absent -> CapacityPoolHistory.create(nowNanos));
    }

    Map<CapacityPool, CapacityPoolHistory> histories() {
        return histories;
    }

    /** Returns undecided commands by proposal id. */
    Map<String, PendingProposal> pending() {
        return pending;
    }

    /** Returns when each open start was last ordered under this leadership. */
    Map<String, Long> startOrderedNanos() {
        return startOrderedNanos;
    }

    /** Returns when the start of each host whose server has not announced itself yet succeeded. */
    Map<String, Long> startFinishedNanos() {
        return startFinishedNanos;
    }

    Map<ServerId, EngineOrder> engineOrders() {
        return engineOrders;
    }

    OptionalLong lastLoadNanos() {
        return lastLoadNanos;
    }

    void setLastLoadNanos(long value) {
        lastLoadNanos = OptionalLong.of(value);
    }

    OptionalLong lastReviewNanos() {
        return lastReviewNanos;
    }

    void setLastReviewNanos(long value) {
        lastReviewNanos = OptionalLong.of(value);
    }

    /** Notes whether hosts are missing now and says whether they have been missing for a time. */
    boolean recordShortage(long delayNanos, boolean missing, long nowNanos) {
        if (!missing) {
            shortSinceNanos = OptionalLong.empty();
        } else if (shortSinceNanos.isEmpty()) {
            shortSinceNanos = OptionalLong.of(nowNanos);
        }
        return shortSinceNanos.isPresent() && nowNanos - shortSinceNanos.getAsLong() >= delayNanos;
    }

    long nextStartNumber() {
        startCount++;
        return startCount;
    }
}
