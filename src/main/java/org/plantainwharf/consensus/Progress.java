package org.plantainwharf.consensus;

/** What a leader knows of one other member. Owned by the leader's replica. */
final class Progress {
    private long nextIndex;
    private long matchIndex;
    private long sentCommitIndex;
    private int snapshotOffset;
    private long snapshotIndex;
    private boolean inFlight;
    private long answeredRoundSentNanos = Long.MIN_VALUE;
    private long lastContactNanos;

    private Progress(long next, long nowNanos) {
        this.nextIndex = next;
        this.lastContactNanos = nowNanos;
    }

    static Progress create(long next, long nowNanos) {
        return new Progress(next, nowNanos);
    }

    /** Returns the next index to send. */
    long nextIndex() {
        return nextIndex;
    }

    /** Returns the last index known to be equal and synced. */
    long matchIndex() {
        return matchIndex;
    }

    /** Returns the commit index sent last. */
    long sentCommitIndex() {
        return sentCommitIndex;
    }

    /** Says whether entries or a chunk were sent and not answered; heartbeats repeat them. */
    boolean inFlight() {
        return inFlight;
    }

    /** Returns the send time of the newest round that this member answered. */
    long answeredRoundSentNanos() {
        return answeredRoundSentNanos;
    }

    long lastContactNanos() {
        return lastContactNanos;
    }

    void recordContact(long nowNanos) {
        lastContactNanos = nowNanos;
    }

    void recordAnsweredRound(long sendNanos) {
        answeredRoundSentNanos =
                answeredRoundSentNanos == Long.MIN_VALUE ? sendNanos : Math.max(answeredRoundSentNanos, sendNanos);
    }

    void recordSent(boolean hasContent, long commitIndex) {
        inFlight |= hasContent;
        sentCommitIndex = commitIndex;
    }

    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = matchIndex + 1;
        inFlight = false;
    }

    /** Goes back after a refusal. Returns whether there is something new to send. */
    boolean backtrack(long hintIndex) {
        long target = Math.max(matchIndex + 1, hintIndex + 1);
        if (target >= nextIndex) {
            return false;
        }
        nextIndex = target;
        inFlight = false;
        return true;
    }

    /** Returns how many records of this snapshot the member has. */
    int snapshotOffset(long lastIndex) {
        return snapshotIndex == lastIndex ? snapshotOffset : 0;
    }

    void recordSnapshotProgress(long lastIndex, int records) {
        snapshotIndex = lastIndex;
        snapshotOffset = records;
        inFlight = false;
    }
}
