package org.plantainwharf.limit;

import java.time.Duration;

/** A token bucket whose rate changes with the lease. Owned by the control thread. */
final class TokenBucket {
    /** Capacity of the bucket in seconds of the rate; the capacity is at least one call. */
    private static final double BURST_SECONDS = 1;

    private double tokens;
    private long updatedNanos;

    private TokenBucket(double tokens, long nowNanos) {
        this.tokens = tokens;
        this.updatedNanos = nowNanos;
    }

    /** Returns a bucket that is full at the guaranteed rate. */
    static TokenBucket create(double guaranteedRate, long nowNanos) {
        return new TokenBucket(Math.max(1, guaranteedRate * BURST_SECONDS), nowNanos);
    }

    /** Adds the tokens since the last update. The rate must be the one that was valid until now. */
    void refill(double rate, long nowNanos) {
        double capacity = Math.max(1, rate * BURST_SECONDS);
        tokens = Math.min(capacity, tokens + rate * Math.max(0, nowNanos - updatedNanos) / 1e9);
        updatedNanos = nowNanos;
    }

    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time until the next token at this rate, rounded up to whole seconds between 1 and 60. */
    Duration timeUntilNextToken(double rate) {
        double seconds = rate <= 0 ? 1 : (1 - tokens) / rate;
        return Duration.ofSeconds(Math.max(1, (long) Math.ceil(Math.min(seconds, 60))));
    }
}
