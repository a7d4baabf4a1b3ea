package org.plantainwharf.limit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Grants of one account to one host that may still be in use. A grant can be lost on the way, so that the host uses an
 * older one until it expires; therefore the largest grant that has not expired counts.
 *
 * <p>Invariant: from first to last, rates decrease and end times increase. Owned by the control thread.
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

    /** Returns the largest rate that the host may use now. */
    double maximumRate(long nowNanos) {
        while (!grants.isEmpty() && nowNanos - grants.getFirst().endNanos() >= 0) {
            grants.removeFirst();
        }
        return grants.isEmpty() ? 0 : grants.getFirst().rate();
    }

    private record Grant(double rate, long endNanos) {}
}
