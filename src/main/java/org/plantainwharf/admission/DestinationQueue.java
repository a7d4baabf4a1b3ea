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
 * <p>Choice between ranks: first a rank whose calls wait although it got less than its floor share of recent service;
 * else the rank whose next call has the most worth per remaining time to its latency target; calls that can no longer
 * meet it come last. Ranks below the highest leave room for what the highest held on average: their calls are longer,
 * so that a slot given to them is not free in time for urgent work.
 */
final class DestinationQueue {
    /** Least slack, as a share of the target: bounds the urgency of a call that is about to miss it. */
    private static final double MINIMUM_SLACK_SHARE = 0.05;

    /** Share of the target that a call waits before its rank's floor counts. */
    private static final double FLOOR_WAIT_SHARE = 0.5;

    /** Bands of preference; worth per millisecond lies between them. */
    private static final double LATE_PREFERENCE = 1e-12;

    private static final double BELOW_FLOOR_PREFERENCE = 1e12;

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
     * Removes and returns the call to serve next, or null when none may be served.
     *
     * @param ranksInForce ranks of the sheet in force; a rank that it no longer has is served last
     * @param estimate calls that this host may have admitted for the destination, and the excess over it for the highest
     *     ranks and those below their floor
     */
    @Nullable
    CallEntry pollNext(Map<RankName, Rank> ranksInForce, CapacityEstimate estimate, long nowNanos) {
        double highestWorth =
                ranksInForce.values().stream().mapToDouble(Rank::worth).max().orElse(0);
        double totalServed = 0;
        double reserved = 0;
        int admittedBelow = 0;
        for (RankQueue queue : ranks.values()) {
            queue.update(nowNanos);
            totalServed += queue.servedSeconds();
            if (isHighest(ranksInForce.get(queue.rank()), highestWorth)) {
                reserved += queue.expectedSlots();
            } else {
                admittedBelow += queue.admitted();
            }
        }
        boolean roomBelow =
                estimate.hasRoomInWindow(admitted) && estimate.hasRoomForLowerRanks(admittedBelow, reserved);
        @Nullable RankQueue best = null;
        double bestPreference = 0;
        for (RankQueue queue : ranks.values()) {
            Rank rank = ranksInForce.get(queue.rank());
            if (rank != null) {
                queue.moveLateCalls(rank, nowNanos);
            }
            double preference = preference(queue, rank, totalServed, nowNanos);
            boolean timely = queue.timelyCalls().size() > 0;
            boolean mayExceed = preference >= BELOW_FLOOR_PREFERENCE || isHighest(rank, highestWorth);
            boolean room = timely ? roomBelow || mayExceed : estimate.hasRoomForLate(admitted);
            if (preference > bestPreference && room) {
                best = queue;
                bestPreference = preference;
            }
        }
        return best == null ? null : best.poll();
    }

    private static boolean isHighest(@Nullable Rank rank, double highestWorth) {
        return rank != null && rank.worth() >= highestWorth;
    }

    /**
     * Returns how much a rank's next call is preferred, 0 for none. Three bands: calls that missed their target, then
     * calls by worth per remaining millisecond, then ranks below their floor whose call has waited for half its target.
     * A floor matters only then: below that, a rank that asks for little would overtake urgent work all the time.
     */
    private static double preference(RankQueue queue, @Nullable Rank rank, double totalServed, long nowNanos) {
        CallEntry head = queue.timelyCalls().peek();
        if (head == null) {
            boolean lateCalls = queue.lateCalls().size() > 0;
            return lateCalls ? LATE_PREFERENCE * (rank == null ? 1 : 1 + rank.worth()) : 0;
        }
        if (rank == null) {
            return LATE_PREFERENCE;
        }
        double waitedMillis = (nowNanos - head.call().arrivedNanos()) / 1e6;
        double target = rank.latencyTargetMillis();
        double deficit = totalServed == 0 ? 0 : rank.floorShare() - queue.servedSeconds() / totalServed;
        if (deficit > 0 && waitedMillis > FLOOR_WAIT_SHARE * target) {
            return BELOW_FLOOR_PREFERENCE * (1 + deficit);
        }
        return rank.worth() / Math.max(target - waitedMillis, MINIMUM_SLACK_SHARE * target);
    }
}
