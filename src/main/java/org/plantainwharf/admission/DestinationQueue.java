package org.plantainwharf.admission;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.sheet.Rank;

/**
 * Queued calls for one destination by rank, and the number of admitted calls. Owned by the control thread.
 *
 * <p>The next call comes from a rank that received less than its floor share of recent service while its calls waited,
 * otherwise from the rank whose next call has the most worth per time remaining to its latency target. Calls that can
 * no longer meet their target come last. Ranks below the highest leave free the slots that the highest held on average:
 * their calls are longer, so a slot given to them would not become free in time for urgent calls.
 */
final class DestinationQueue {
    /**
     * Minimum slack, as a fraction of the latency target; bounds the preference of a call that is about to miss its
     * target.
     */
    private static final double MINIMUM_SLACK_SHARE = 0.05;

    /** Fraction of the latency target that a call must have waited before the floor share of its rank applies. */
    private static final double FLOOR_WAIT_SHARE = 0.5;

    /** Preference of late calls, below any worth per millisecond. */
    private static final double LATE_PREFERENCE = 1e-12;

    /** Preference of a rank below its floor share, above any worth per millisecond. */
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
     * Removes and returns the call to admit next, or null if none may be admitted.
     *
     * @param ranksInForce ranks of the sheet in force; a rank that is no longer in it comes last
     * @param estimate capacity of this host for the destination, with the excess allowed to the highest ranks and to
     *     ranks below their floor share
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
     * Returns the preference of a rank's next call, 0 if it has none. There are three bands, from low to high: calls
     * that can no longer meet their latency target, calls by worth per remaining millisecond, and ranks below their
     * floor share whose next call has waited for half its target. The floor share applies only after that wait, because
     * a rank with little demand would otherwise overtake urgent calls all the time.
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
