package org.plantainwharf.capacity;

import org.plantainwharf.board.Board;
import org.plantainwharf.membership.Member;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

/**
 * How many hosts of backend servers the present work needs.
 *
 * <p>The work is what runs and waits at the servers, plus the calls queued on this host times the number of entry
 * hosts, because the balancer spreads callers evenly. A queued call counts in full if its rank's latency target is
 * shorter than a host start, and proportionally less if it can wait longer: a flood of patient work starts few hosts.
 * Servers are to be busy to {@link #TARGET_UTILIZATION}. Stateless.
 */
final class HostDemand {
    /** Leaves a quarter of the slots for the next minutes' growth, which is about as long as a host start takes. */
    static final double TARGET_UTILIZATION = 0.75;

    /** Typical time from the order of a host to its server's first answer, with the model loaded. */
    static final long HOST_START_MILLIS = 120_000;

    private HostDemand() {}

    /** Returns the wanted number of hosts, at least 1; empty fleets cannot be measured and want one host too. */
    static int wantedHosts(Board board, Sheet sheet, long nowNanos) {
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
                // Work on a server that is leaving needs a place when it goes.
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
