package org.plantainwharf.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.identity.AccountName;

/**
 * Start-time fair queueing between accounts. While an account has queued calls, it receives service in proportion to
 * its weight. An account that was idle resumes at the current virtual time and accumulates no credit.
 *
 * <p>Invariant: {@code active} contains exactly the accounts with queued calls. Owned by the control thread.
 */
final class FairQueue {
    private final Map<AccountName, AccountQueue> accounts = new HashMap<>();
    private final TreeSet<AccountQueue> active = new TreeSet<>(
            Comparator.comparingDouble(AccountQueue::startTag).thenComparingLong(AccountQueue::activationOrder));
    private double virtualTime;
    private double activeWeight;
    private long activations;
    private int size;

    private FairQueue() {}

    static FairQueue create() {
        return new FairQueue();
    }

    void add(CallEntry entry, double weight) {
        AccountQueue queue = accounts.computeIfAbsent(entry.call().account(), AccountQueue::create);
        queue.calls().add(entry);
        size++;
        if (queue.calls().size() == 1) {
            queue.setWeight(weight);
            activations++;
            queue.activate(Math.max(virtualTime, queue.startTag()), activations);
            active.add(queue);
            activeWeight += weight;
        }
    }

    /** Returns the next call without removing it, or null if the queue is empty. */
    @Nullable
    CallEntry peek() {
        return active.isEmpty() ? null : active.first().calls().peek();
    }

    /** Removes and returns the next call, or null if the queue is empty. */
    @Nullable
    CallEntry poll() {
        AccountQueue queue = active.pollFirst();
        if (queue == null) {
            return null;
        }
        CallEntry entry = queue.calls().remove();
        size--;
        virtualTime = Math.max(virtualTime, queue.startTag());
        queue.advance(CallCost.of(entry.call().kind()));
        keepOrDeactivate(queue);
        return entry;
    }

    /** Removes the call that {@link #peek} returned, without charging its account for service. */
    CallEntry remove(CallEntry head) {
        AccountQueue queue = active.first();
        active.remove(queue);
        queue.calls().remove();
        size--;
        keepOrDeactivate(queue);
        return head;
    }

    /** Removes and returns every call that matches. */
    List<CallEntry> removeIf(Predicate<CallEntry> condition) {
        List<CallEntry> removed = new ArrayList<>();
        for (AccountQueue queue : List.copyOf(active)) {
            int before = removed.size();
            for (Iterator<CallEntry> calls = queue.calls().iterator(); calls.hasNext(); ) {
                CallEntry entry = calls.next();
                if (condition.test(entry)) {
                    calls.remove();
                    removed.add(entry);
                }
            }
            if (removed.size() > before) {
                size -= removed.size() - before;
                active.remove(queue);
                keepOrDeactivate(queue);
            }
        }
        return removed;
    }

    int size() {
        return size;
    }

    /**
     * Returns the expected number of calls served before a new call of this account if all active accounts keep
     * sending: the number of its own queued calls divided by its share of the weights, at most the length of the queue.
     */
    double callsAhead(AccountName account, double weight) {
        AccountQueue queue = accounts.get(account);
        int own = queue == null ? 0 : queue.calls().size();
        double weights = activeWeight + (own == 0 ? weight : 0);
        return Math.min(size, own * weights / weight);
    }

    private void keepOrDeactivate(AccountQueue queue) {
        if (queue.calls().isEmpty()) {
            activeWeight -= queue.weight();
            removeIdleAccounts();
        } else {
            active.add(queue);
        }
    }

    /**
     * Removes idle accounts whose start tag is not ahead of the virtual time: they would resume at the virtual time
     * anyway.
     */
    private void removeIdleAccounts() {
        if (active.isEmpty()) {
            accounts.clear();
            virtualTime = 0;
            activeWeight = 0;
        } else if (accounts.size() > 2 * active.size() + 64) {
            accounts.values().removeIf(queue -> queue.calls().isEmpty() && queue.startTag() <= virtualTime);
        }
    }
}
