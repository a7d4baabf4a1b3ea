package org.plantainwharf.forward;

/** This daemon's part of one account's limit, as a token bucket. Owned by the forward controller. */
final class AccountBucket {
    private double tokens;
    private long updatedNanos;

    private AccountBucket(double tokens, long nowNanos) {
        this.tokens = tokens;
        this.updatedNanos = nowNanos;
    }

    /** Returns a bucket that holds its whole burst. */
    static AccountBucket full(double burst, long nowNanos) {
        return new AccountBucket(burst, nowNanos);
    }

    /** Adds what the rate gave since the last update, up to the burst. */
    void refill(double rate, double burst, long nowNanos) {
        tokens = Math.min(burst, tokens + rate * Math.max(0, nowNanos - updatedNanos) / 1e9);
        updatedNanos = nowNanos;
    }

    /**
     * Takes tokens if any are left. A request larger than what is left is let through and leaves a debt, so that a long
     * prompt is not refused for ever.
     */
    boolean tryTake(double count) {
        if (tokens <= 0) {
            return false;
        }
        tokens -= count;
        return true;
    }

    /** Gives back what a request took that has not run. */
    void giveBack(double count) {
        tokens += count;
    }

    /** Returns the time until the debt is paid at this rate, in milliseconds. */
    long millisUntilOpen(double rate) {
        return rate <= 0 ? 1_000 : (long) Math.ceil(Math.max(0, -tokens) / rate * 1_000);
    }
}
