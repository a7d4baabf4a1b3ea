package org.plantainwharf.forward;

/**
 * Requests that this daemon has sent to a server, and those that have ended, since the load that is known of the server.
 * Bounded: the eldest entries are dropped first. Owned by the control thread.
 */
final class RecentRequests {
    /** Entries of two seconds at 32 requests and ends a second; a server answers, and so reports its load, about as often. */
    private static final int CAPACITY = 64;

    private final long[] times = new long[CAPACITY];
    private final int[] changes = new int[CAPACITY];
    private final long[] tokens = new long[CAPACITY];
    private int first;
    private int size;
    private int requests;
    private long promptTokens;

    private RecentRequests() {}

    static RecentRequests create() {
        return new RecentRequests();
    }

    /**
     * Adds a change in the number of requests at the server.
     *
     * @param change 1 for a request that was sent, -1 for one that has ended
     */
    void add(int change, long uncachedTokens, long nowNanos) {
        if (size == CAPACITY) {
            removeFirst();
        }
        int index = (first + size) % CAPACITY;
        times[index] = nowNanos;
        changes[index] = change;
        tokens[index] = uncachedTokens;
        size++;
        requests += change;
        promptTokens += uncachedTokens;
    }

    /** Removes the entries until a time. */
    void removeUntil(long nanos) {
        while (size > 0 && times[first] - nanos <= 0) {
            removeFirst();
        }
    }

    void clear() {
        size = 0;
        requests = 0;
        promptTokens = 0;
    }

    private void removeFirst() {
        requests -= changes[first];
        promptTokens -= tokens[first];
        first = (first + 1) % CAPACITY;
        size--;
    }

    /** Returns how many requests were sent more than have ended. */
    int requests() {
        return requests;
    }

    /** Returns the prompt tokens of the requests that were sent. */
    long promptTokens() {
        return promptTokens;
    }
}
