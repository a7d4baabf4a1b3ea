package org.plantainwharf.backend;

import org.plantainwharf.call.Call;
import org.plantainwharf.call.Origin;

/**
 * Text of a model call received over all attempts, its number of tokens, and the attempt that may append to it.
 * Invariant: the text sent to a streaming caller equals the text recorded here, so that a later attempt resumes exactly
 * where the previous one ended.
 *
 * <p>Not thread-safe by itself: every method must be called while holding this object's lock.
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

    /** Makes an attempt the only one that may append text. Returns false if it or a later one has already begun. */
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

    /** Appends the text of one token. Returns false, appending nothing, if the text would exceed its maximum size. */
    boolean addToken(String tokenText) {
        // Upper bound: UTF-8 encodes each char of a string in at most three bytes.
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

    /** Returns whether a chunk of the stream has been received in any attempt. */
    boolean streamBegun() {
        return streamBegun;
    }

    void markStreamBegun() {
        streamBegun = true;
    }

    /** Returns the finish reason sent by the engine, or an empty string if none has arrived. */
    String finishReason() {
        return finishReason;
    }

    void setFinishReason(String value) {
        finishReason = value;
    }

    /** Returns whether the call came from a caller's connection, as opposed to accepted work. */
    boolean hasCaller() {
        return call.origin() instanceof Origin.Caller;
    }

    /** Returns whether no attempt is running and the last one ended at least {@code idleNanos} ago. */
    boolean isIdleFor(long nowNanos, long idleNanos) {
        return !attemptRunning && nowNanos - lastEndNanos >= idleNanos;
    }

    Call call() {
        return call;
    }
}
