package org.plantainwharf.capacity;

import org.plantainwharf.board.Board;
import org.plantainwharf.membership.Member;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

/**
 * Computes how many hosts of backend servers the present load requires.
 *
 * <p>The load is what runs and waits at the servers, plus the calls queued on this host multiplied by the number of
 * entry hosts, because the load balancer distributes callers evenly. A queued call counts fully if the latency target
 * of its rank is shorter than a host start, and proportionally less if it can wait longer, so that a flood of work with
 * a long latency target starts few hosts. The target utilization of servers is {@link #TARGET_UTILIZATION}. Stateless.
 */
final class HostDemand {
    /** Leaves a quarter of the slots for the growth of load during a host start, which takes minutes. */
    static final double TARGET_UTILIZATION = 0.75;

    /** Typical time from the order of a host to the first answer of its server, including the load of the model. */
    static final long HOST_START_MILLIS = 120_000;

    private HostDemand() {}

    /** Returns the required number of hosts, at least 1, also without any server from which load could be measured. */
    static int requiredHosts(Board board, Sheet sheet, long nowNanos) {
        int servers = 0;
        int slots = 0;
        double work = 0;
        for (ServerEntry entry : board.servers().servers()) {
            boolean accepts = entry.acceptsNewWork(nowNanos);
            if (accepts) {
                servers++;
                slots += entry.announcement().slots();
            }
            if (accepts || entry.announcement().leaving()) {
                // Work on a server that is leaving will need slots elsewhere.
                work += entry.estimatedLoad();
            }
        }
        work += queuedWork(board, sheet) * entryHosts(board);
        double slotsPerServer = servers == 0 ? 1 : (double) slots / servers;
        return Math.max(1, (int) Math.ceil(work / (TARGET_UTILIZATION * Math.max(1, slotsPerServer))));
    }

    private static double queuedWork(Board board, Sheet sheet) {
        double work = 0;
        for (Rank rank : sheet.ranks().values()) {
            double weight = Math.min(1, (double) HOST_START_MILLIS / Math.max(1, rank.latencyTargetMillis()));
            work += board.admission().queued(rank.name()) * weight;
        }
        return work;
    }

    private static long entryHosts(Board board) {
        return 1 + board.membership().members().stream().filter(Member::linked).count();
    }
}
