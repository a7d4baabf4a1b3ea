package org.plantainwharf.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Shares of one account that were leased to one host and may still be in use. A grant can be lost, so the host may use
 * an older one until that ends: the greatest grant that has not ended counts.
 *
 * <p>Invariant: from first to last, rates decrease and ends increase. Owned by the control thread.
 */
final class OutstandingGrants {
    private final Deque<Grant> grants = new ArrayDeque<>();

    private OutstandingGrants() {}

    static OutstandingGrants create() {
        return new OutstandingGrants();
    }

    void add(double rate, long endNanos) {
        while (!grants.isEmpty() && grants.getLast().rate() <= rate) {
            grants.removeLast();
        }
        grants.addLast(new Grant(rate, endNanos));
    }

    /** Returns the greatest rate that the host may use now. */
    double maximumRate(long nowNanos) {
        while (!grants.isEmpty() && nowNanos - grants.getFirst().endNanos() >= 0) {
            grants.removeFirst();
        }
        return grants.isEmpty() ? 0 : grants.getFirst().rate();
    }

    private record Grant(double rate, long endNanos) {}
}
