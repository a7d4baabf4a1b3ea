package org.plantainwharf.admission;

import org.plantainwharf.board.Board;
import org.plantainwharf.routing.ActiveHosts;
import org.plantainwharf.routing.ServerRoutingState;

/**
 * The number of calls that this host may have admitted for one destination. Immutable.
 *
 * <p>All hosts see the same load reports, with a delay. If each host filled all free slots, the slots would be filled
 * once per host. Therefore the free slots of a report are divided by the number of hosts, and the slots that this host
 * used when the report arrived remain its own. A fraction of all slots is divided evenly regardless of the current
 * load, so that the other hosts cannot exclude a host without running calls. The windows of all hosts add up to the
 * number of slots.
 *
 * @param window number of calls that this host may have admitted on servers that accept new work
 * @param onUnavailableServers number of this host's calls on servers that accept no new work
 * @param servers number of servers that accept new work
 * @param computedNanos time of the computation, on this host's monotonic clock
 */
record CapacityEstimate(double window, int onUnavailableServers, int servers, long computedNanos) {
    /** Fraction of all slots that is divided evenly between hosts. */
    private static final double EVEN_SHARE = 0.05;

    /**
     * Fraction of the window by which the highest ranks may exceed it. Their excess calls wait at the engine, ahead of
     * other calls by priority, and get the first slot that any host frees, not only one that this host frees.
     */
    private static final double EXCESS_SHARE = 0.1;

    /** Fraction of the window that may be used by calls that can no longer meet their latency target. */
    private static final double LATE_SHARE = 0.5;

    /** Returns the estimate to use before any server is known. */
    static CapacityEstimate none() {
        return new CapacityEstimate(0, 0, 0, Long.MIN_VALUE);
    }

    /** Computes the estimate from the current state of the servers. */
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

    /** Returns whether one more call of the highest worth, or of a rank below its floor share, may be admitted. */
    boolean hasRoomForPreferred(int admitted) {
        return servers > 0 && admitted - onUnavailableServers + 1 <= window + Math.max(1, EXCESS_SHARE * window);
    }

    /** Returns whether one more call of any rank may be admitted. */
    boolean hasRoomInWindow(int admitted) {
        return servers > 0 && admitted - onUnavailableServers + 1 <= window;
    }

    /**
     * Returns whether one more call that can no longer meet its latency target may be admitted. During a flood, none
     * may.
     */
    boolean hasRoomForLate(int admitted) {
        return servers > 0 && admitted - onUnavailableServers + 1 <= Math.max(1, LATE_SHARE * window);
    }

    /**
     * Returns whether one more call below the highest worth may be admitted, with slots reserved for the highest worth.
     *
     * @param admittedBelow number of admitted calls below the highest worth
     * @param reserved number of slots that the highest ranks are expected to need
     */
    boolean hasRoomForLowerRanks(int admittedBelow, double reserved) {
        return admittedBelow - onUnavailableServers + 1 <= Math.max(1, window - reserved);
    }
}
