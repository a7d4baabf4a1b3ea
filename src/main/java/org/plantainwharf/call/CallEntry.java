package org.plantainwharf.call;

import org.plantainwharf.identity.AttemptId;

/** A live call with its state. Owned by the control thread. */
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

    /** Returns the call. */
    public Call call() {
        return call;
    }

    /** Returns the stage it has reached. */
    public CallState state() {
        return state;
    }

    /** Returns the number of attempts started. */
    public int attempts() {
        return attempts;
    }

    /** Returns the tokens received over all attempts. */
    public int tokensReceived() {
        return tokensReceived;
    }

    /** Says whether bytes of the answer went to the caller. */
    public boolean answerStarted() {
        return answerStarted;
    }

    /** Returns the identifier for the next attempt and counts it. */
    public AttemptId nextAttempt() {
        attempts++;
        return AttemptId.of(call.id(), attempts);
    }

    /** Says whether this attempt is the one that runs now; results of any other are stale. */
    public boolean isCurrent(AttemptId attempt) {
        return state instanceof CallState.Running running && running.attempt().equals(attempt);
    }

    /** Adds received tokens. */
    public void addTokens(int tokens) {
        tokensReceived += tokens;
    }

    /** Records that bytes of the answer went to the caller. */
    public void markAnswerStarted() {
        answerStarted = true;
    }

    void setState(CallState next) {
        state = next;
    }
}
