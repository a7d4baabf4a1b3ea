package org.plantainwharf.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.replicated.Command;

/**
 * Leadership, host starts, history of the capacity pools, and engine orders. Written by the controllers of this
 * package. Owned by the control thread.
 */
public final class CapacitySection {
    /** A command that this host proposed, kept until it is decided. Immutable. */
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
    private int requiredHosts;

    /**
     * This host's leadership of the control group. Immutable.
     *
     * @param fencingNumber fencing number committed for this term, 0 until then
     * @param sinceNanos when this host became the leader, on its monotonic clock
     */
    record Leadership(long term, long fencingNumber, long sinceNanos) {}

    private CapacitySection() {}

    /** Returns an empty section. */
    public static CapacitySection create() {
        return new CapacitySection();
    }

    /** Returns how many hosts of backend servers the last review required, 0 on a host that is not the leader. */
    public int requiredHosts() {
        return requiredHosts;
    }

    void setRequiredHosts(int value) {
        requiredHosts = value;
    }

    Optional<Leadership> leadership() {
        return leadership;
    }

    /** Starts or ends a leadership. Clears the orders of an earlier one; host starts stay in the replicated state. */
    void setLeadership(Optional<Leadership> value) {
        leadership = value;
        pending.clear();
        startOrderedNanos.clear();
        engineOrders.clear();
        shortSinceNanos = OptionalLong.empty();
        requiredHosts = 0;
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

    /** Returns the undecided commands by proposal id. */
    Map<String, PendingProposal> pending() {
        return pending;
    }

    /** Returns when each open start was last ordered under this leadership, by token. */
    Map<String, Long> startOrderedNanos() {
        return startOrderedNanos;
    }

    /** Returns when each successful start was applied, by token; entries older than the boot timeout are removed. */
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

    /** Records whether hosts are missing now, and returns whether they have been missing for {@code delayNanos}. */
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
