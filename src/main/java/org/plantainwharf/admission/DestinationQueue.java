package org.plantainwharf.admission;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.sheet.Rank;

/**
 * Waiting calls for one destination by rank, and the number of its admitted calls. Owned by the control thread.
 *
 * <p>Choice between ranks: first a rank that got less than its floor share of recent service, the one furthest below;
 * else the rank whose next call has the most worth per remaining time to its latency target.
 */
final class DestinationQueue {
    /** Least slack, as a share of the target: bounds the urgency of a call that is about to miss it. */
    private static final double LEAST_SLACK = 0.05;

    private final Destination destination;
    private final Map<RankName, RankQueue> ranks = new LinkedHashMap<>();
    private CapacityEstimate capacity = CapacityEstimate.none();
    private int admitted;
    private int size;

    private DestinationQueue(Destination destination) {
        this.destination = destination;
    }

    static DestinationQueue create(Destination destination) {
        return new DestinationQueue(destination);
    }

    Destination destination() {
        return destination;
    }

    RankQueue rank(RankName rank, long nowNanos) {
        return ranks.computeIfAbsent(rank, name -> RankQueue.create(name, nowNanos));
    }

    Collection<RankQueue> ranks() {
        return ranks.values();
    }

    CapacityEstimate capacity() {
        return capacity;
    }

    void setCapacity(CapacityEstimate value) {
        capacity = value;
    }

    /** Returns the number of admitted calls that have not ended. */
    int admitted() {
        return admitted;
    }

    void countAdmitted(int difference) {
        admitted += difference;
    }

    int size() {
        return size;
    }

    void countQueued(int difference) {
        size += difference;
    }

    /**
     * Returns the rank to serve next, or null when no rank may be served.
     *
     * @param sheet ranks of the sheet in force; a rank that it no longer has is served last
     * @param onlyHighestWorth whether the remaining room is reserved for ranks of the highest worth and those below
     *     their floor; without the latter, a flood of the highest rank would refill every slot before a floor counts
     */
    @Nullable
    RankQueue next(Map<RankName, Rank> sheet, boolean onlyHighestWorth, long nowNanos) {
        double highestWorth =
                sheet.values().stream().mapToDouble(Rank::worth).max().orElse(0);
        double totalServed = 0;
        for (RankQueue queue : ranks.values()) {
            queue.update(nowNanos);
            totalServed += queue.servedSeconds();
        }
        @Nullable RankQueue best = null;
        double bestDeficit = 0;
        double bestUrgency = -1;
        for (RankQueue queue : ranks.values()) {
            CallEntry head = queue.calls().peek();
            if (head == null) {
                continue;
            }
            Rank rank = sheet.get(queue.rank());
            double deficit = rank == null || totalServed == 0
                    ? 0
                    : Math.max(0, rank.floorShare() - queue.servedSeconds() / totalServed);
            if (onlyHighestWorth && deficit == 0 && (rank == null || rank.worth() < highestWorth)) {
                continue;
            }
            double urgency = rank == null ? 0 : urgency(rank, head, nowNanos);
            if (deficit > bestDeficit || (deficit == bestDeficit && urgency > bestUrgency)) {
                best = queue;
                bestDeficit = deficit;
                bestUrgency = urgency;
            }
        }
        return best;
    }

    /**
     * Returns worth per millisecond of slack. A call that missed its target counts as if it had just arrived: its
     * answer still has some use, but it must not overtake calls that can be in time.
     */
    private static double urgency(Rank rank, CallEntry head, long nowNanos) {
        double waitedMillis = (nowNanos - head.call().arrivedNanos()) / 1e6;
        double slack = rank.latencyTargetMillis() - waitedMillis;
        if (slack <= 0) {
            return rank.worth() / rank.latencyTargetMillis();
        }
        return rank.worth() / Math.max(slack, LEAST_SLACK * rank.latencyTargetMillis());
    }
}
