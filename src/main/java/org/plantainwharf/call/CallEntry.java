package org.plantainwharf.call;

import org.plantainwharf.identity.AttemptId;

/** A live call with its processing state. Owned by the control thread. */
public final class CallEntry {
    private final Call call;
    private CallState state = new CallState.Arrived();
    private int attempts;
    private int tokensReceived;
    private boolean answerStarted;

    private CallEntry(Call call) {
        this.call = call;
    }

    /** Returns an entry for a call that has just arrived. */
    public static CallEntry create(Call call) {
        return new CallEntry(call);
    }

    public Call call() {
        return call;
    }

    /** Returns the current stage of processing. */
    public CallState state() {
        return state;
    }

    /** Returns the number of attempts started. */
    public int attempts() {
        return attempts;
    }

    /** Returns the number of tokens received over all attempts. */
    public int tokensReceived() {
        return tokensReceived;
    }

    /** Returns whether any part of the answer was sent to the caller. */
    public boolean answerStarted() {
        return answerStarted;
    }

    /** Returns the identifier of the next attempt and counts that attempt as started. */
    public AttemptId nextAttempt() {
        attempts++;
        return AttemptId.of(call.id(), attempts);
    }

    /** Returns whether this is the running attempt; results of any other attempt are stale. */
    public boolean isCurrent(AttemptId attempt) {
        return state instanceof CallState.Running running && running.attempt().equals(attempt);
    }

    public void addTokens(int tokens) {
        tokensReceived += tokens;
    }

    /** Records that part of the answer was sent to the caller. */
    public void markAnswerStarted() {
        answerStarted = true;
    }

    void setState(CallState next) {
        state = next;
    }
}
