package org.plantainwharf.admission;

import org.plantainwharf.board.Board;
import org.plantainwharf.routing.ActiveHosts;
import org.plantainwharf.routing.ServerRoutingState;

/**
 * How many calls this host may have admitted for one destination. Immutable.
 *
 * <p>Every host sees the same reported load, some time late. If each filled all free slots, they would be filled once
 * per host. So the free slots of a report are divided by the number of hosts, and what this host had running when the
 * report arrived stays its own. A part of all slots is divided evenly whatever runs now, so that a host without running
 * calls is not kept out by the others. Over all hosts, the windows sum to the slots.
 *
 * @param window calls that this host may have admitted on servers that take new work
 * @param onUnavailableServers this host's calls on servers that take no new work
 * @param servers servers that take new work
 * @param computedNanos when it was computed
 */
record CapacityEstimate(double window, int onUnavailableServers, int servers, long computedNanos) {
    /** Share of all slots that is divided evenly between hosts. */
    private static final double EVEN_SHARE = 0.05;

    /**
     * Part of the window by which the highest ranks may exceed it. Their calls then wait at the engine, ahead of other
     * work by priority, for the first slot that any host frees, not only for one that this host frees.
     */
    private static final double EXCESS_SHARE = 0.1;

    /** Part of the window that calls beyond their target may use. */
    private static final double LATE_SHARE = 0.5;

    /** Returns the estimate before any server is known. */
    static CapacityEstimate none() {
        return new CapacityEstimate(0, 0, 0, Long.MIN_VALUE);
    }

    /** Returns the estimate from what is known of the servers now. */
    static CapacityEstimate compute(Board board, Destination destination, long nowNanos) {
        int hosts = ActiveHosts.count(board.membership());
        double window = 0;
        int onUnavailableServers = 0;
        int servers = 0;
        for (ServerRoutingState serverState : board.routing().servers(destination)) {
            if (!serverState.entry().acceptsNewWork(nowNanos)) {
                onUnavailableServers += serverState.entry().inFlight();
                continue;
            }
            servers++;
            int slots = serverState.entry().announcement().slots();
            int load = serverState.entry().announcement().load().running()
                    + serverState.entry().announcement().load().queued();
            double own = Math.max(0, serverState.inFlightAtReport() + (double) (slots - load) / hosts);
            window += EVEN_SHARE * slots / hosts + (1 - EVEN_SHARE) * own;
        }
        return new CapacityEstimate(servers == 0 ? 0 : Math.max(1, window), onUnavailableServers, servers, nowNanos);
    }

    /** Says whether one more call of the highest worth, or of a rank below its floor, may be admitted. */
    boolean hasRoomForPreferred(int admitted) {
        return servers > 0 && admitted - onUnavailableServers + 1 <= window + Math.max(1, EXCESS_SHARE * window);
    }

    /** Says whether one more call of any rank may be admitted. */
    boolean hasRoomInWindow(int admitted) {
        return servers > 0 && admitted - onUnavailableServers + 1 <= window;
    }

    /** Says whether one more call may be admitted that can no longer meet its target: only while there is no flood. */
    boolean hasRoomForLate(int admitted) {
        return servers > 0 && admitted - onUnavailableServers + 1 <= Math.max(1, LATE_SHARE * window);
    }

    /**
     * Says whether one more call below the highest worth may be admitted beside the reserve for the highest.
     *
     * @param admittedBelow admitted calls below the highest worth
     * @param reserved slots that the highest ranks are expected to need
     */
    boolean hasRoomForLowerRanks(int admittedBelow, double reserved) {
        return admittedBelow - onUnavailableServers + 1 <= Math.max(1, window - reserved);
    }
}
