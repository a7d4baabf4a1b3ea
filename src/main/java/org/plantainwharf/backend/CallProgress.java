package org.plantainwharf.backend;

import org.plantainwharf.call.Call;
import org.plantainwharf.call.Origin;

/**
 * What the caller of a model call has been given over all attempts: the text, its number of tokens, and which attempt
 * may add to it. The text handed to the caller always equals the text kept here, so a later attempt can continue
 * exactly where the earlier one ended. Every method is called with this object's lock held by the caller.
 */
final class CallProgress {
    private final Call call;
    private final int maximumBytes;
    private final StringBuilder text = new StringBuilder();
    private long textBytes;
    private int tokenCount;
    private int currentAttemptNumber;
    private boolean attemptRunning;
    private boolean streamBegun;
    private String finishReason = "";
    private long lastEndNanos;

    private CallProgress(Call call, int maximumBytes, long nowNanos) {
        this.call = call;
        this.maximumBytes = maximumBytes;
        this.lastEndNanos = nowNanos;
    }

    static CallProgress create(Call call, int maximumBytes, long nowNanos) {
        return new CallProgress(call, maximumBytes, nowNanos);
    }

    /** Makes an attempt the only one that may add text. Returns false if a later one has already begun. */
    boolean beginAttempt(int number) {
        if (number <= currentAttemptNumber) {
            return false;
        }
        currentAttemptNumber = number;
        attemptRunning = true;
        return true;
    }

    void endAttempt(int number, long nowNanos) {
        if (number == currentAttemptNumber) {
            attemptRunning = false;
            lastEndNanos = nowNanos;
        }
    }

    boolean isCurrent(int number) {
        return attemptRunning && number == currentAttemptNumber;
    }

    /** Adds the text of one token. Returns false, adding nothing, when the kept text would exceed its bound. */
    boolean addToken(String tokenText) {
        // UTF-8 takes at most three bytes for each char of a string.
        long bytes = textBytes + 3L * tokenText.length();
        if (bytes > maximumBytes) {
            return false;
        }
        textBytes = bytes;
        text.append(tokenText);
        tokenCount++;
        return true;
    }

    String text() {
        return text.toString();
    }

    int tokenCount() {
        return tokenCount;
    }

    boolean streamBegun() {
        return streamBegun;
    }

    void markStreamBegun() {
        streamBegun = true;
    }

    String finishReason() {
        return finishReason;
    }

    void setFinishReason(String value) {
        finishReason = value;
    }

    boolean hasCaller() {
        return call.origin() instanceof Origin.Caller;
    }

    /** Says whether no attempt has run for this long. */
    boolean isIdleFor(long nowNanos, long idleNanos) {
        return !attemptRunning && nowNanos - lastEndNanos >= idleNanos;
    }

    Call call() {
        return call;
    }
}
