package org.plantainwharf.consensus;

/** Replication progress of one other member, as known to the leader. Owned by the leader's replica. */
final class Progress {
    private long nextIndex;
    private long matchIndex;
    private long sentCommitIndex;
    private int snapshotOffset;
    private long snapshotIndex;
    private boolean inFlight;
    private long sentIndex;
    private long largeContentRound;
    private long answeredRoundSentNanos = Long.MIN_VALUE;
    private long lastContactNanos;

    private Progress(long next, long nowNanos) {
        this.nextIndex = next;
        this.lastContactNanos = nowNanos;
    }

    static Progress create(long next, long nowNanos) {
        return new Progress(next, nowNanos);
    }

    /** Returns the index of the next entry to send. */
    long nextIndex() {
        return nextIndex;
    }

    /** Returns the last index at which the member's log is known to match and to be synced. */
    long matchIndex() {
        return matchIndex;
    }

    /** Returns the commit index in the newest message to this member. */
    long sentCommitIndex() {
        return sentCommitIndex;
    }

    /** Returns true while sent entries or a snapshot chunk are unanswered. Heartbeats repeat them after a while. */
    boolean inFlight() {
        return inFlight;
    }

    /** Returns the send time of the newest heartbeat round that this member answered, or {@code Long.MIN_VALUE}. */
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

    /** Returns the round in which large content that is still unanswered was sent, 0 if there is none. */
    long largeContentRound() {
        return inFlight ? largeContentRound : 0;
    }

    /** Records a message without content. */
    void recordHeartbeat(long commitIndex) {
        sentCommitIndex = commitIndex;
    }

    /**
     * Records a message with entries or snapshot records.
     *
     * @param lastIndex the last index that the member has once it has all of the content
     * @param large whether the content may take long on a slow link
     * @param round number of the current heartbeat round
     */
    void recordContent(long lastIndex, boolean large, long round, long commitIndex) {
        inFlight = true;
        sentIndex = lastIndex;
        largeContentRound = large ? round : 0;
        sentCommitIndex = commitIndex;
    }

    /** Records what the member has synced. An answer to an earlier message leaves the content sent last in flight. */
    void recordMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = matchIndex + 1;
        inFlight &= matchIndex < sentIndex;
    }

    /**
     * Moves the next index back after the member rejected an append.
     *
     * @param hintIndex last index at which the member's log may match
     * @return true if the next index changed, so that entries should be sent
     */
    boolean backtrack(long hintIndex) {
        long target = Math.max(matchIndex + 1, hintIndex + 1);
        if (target >= nextIndex) {
            return false;
        }
        nextIndex = target;
        inFlight = false;
        return true;
    }

    /** Returns the number of records of the snapshot at {@code lastIndex} that the member has received. */
    int snapshotOffset(long lastIndex) {
        return snapshotIndex == lastIndex ? snapshotOffset : 0;
    }

    void recordSnapshotProgress(long lastIndex, int records) {
        snapshotIndex = lastIndex;
        snapshotOffset = records;
        inFlight = false;
    }
}
