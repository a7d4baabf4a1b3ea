package org.plantainwharf.consensus;

/** What a leader knows of one other member. Owned by the leader's replica. */
final class Progress {
    private long next;
    private long match;
    private long sentCommit;
    private int snapshotOffset;
    private long snapshotIndex;
    private boolean outstanding;
    private long leaseNanos = Long.MIN_VALUE;
    private long lastHeardNanos;

    private Progress(long next, long nowNanos) {
        this.next = next;
        this.lastHeardNanos = nowNanos;
    }

    static Progress create(long next, long nowNanos) {
        return new Progress(next, nowNanos);
    }

    /** Returns the next index to send. */
    long next() {
        return next;
    }

    /** Returns the last index known to be equal and synced. */
    long match() {
        return match;
    }

    /** Returns the commit index sent last. */
    long sentCommit() {
        return sentCommit;
    }

    /** Says whether entries or a chunk were sent and not answered; heartbeats repeat them. */
    boolean outstanding() {
        return outstanding;
    }

    /** Returns the send time of the newest round that this member answered. */
    long leaseNanos() {
        return leaseNanos;
    }

    long lastHeardNanos() {
        return lastHeardNanos;
    }

    void heard(long nowNanos) {
        lastHeardNanos = nowNanos;
    }

    void answeredRound(long sendNanos) {
        leaseNanos = leaseNanos == Long.MIN_VALUE ? sendNanos : Math.max(leaseNanos, sendNanos);
    }

    void sent(boolean content, long commitIndex) {
        outstanding |= content;
        sentCommit = commitIndex;
    }

    void matched(long index) {
        match = Math.max(match, index);
        next = match + 1;
        outstanding = false;
    }

    /** Goes back after a refusal. Returns whether there is something new to send. */
    boolean refused(long hint) {
        long target = Math.max(match + 1, hint + 1);
        if (target >= next) {
            return false;
        }
        next = target;
        outstanding = false;
        return true;
    }

    /** Returns how many records of this snapshot the member has. */
    int snapshotOffset(long lastIndex) {
        return snapshotIndex == lastIndex ? snapshotOffset : 0;
    }

    void snapshotReceived(long lastIndex, int records) {
        snapshotIndex = lastIndex;
        snapshotOffset = records;
        outstanding = false;
    }
}
