package org.plantainwharf.limit;

import java.time.Duration;

/** A token bucket whose rate changes with the leased share. Owned by the control thread. */
final class TokenBucket {
    /** Seconds of the rate that may be saved up; a bucket always holds one call. */
    private static final double BURST_SECONDS = 1;

    private double tokens;
    private long updatedNanos;

    private TokenBucket(double tokens, long nowNanos) {
        this.tokens = tokens;
        this.updatedNanos = nowNanos;
    }

    /** Returns a bucket that holds what the safe share allows to save up. */
    static TokenBucket create(double guaranteedRate, long nowNanos) {
        return new TokenBucket(Math.max(1, guaranteedRate * BURST_SECONDS), nowNanos);
    }

    /** Adds what the rate gave since the last update. To be called with the rate that was valid until now. */
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

    /** Returns the time until the next token at this rate. */
    Duration timeUntilNextToken(double rate) {
        double seconds = rate <= 0 ? 1 : (1 - tokens) / rate;
        return Duration.ofSeconds(Math.max(1, (long) Math.ceil(Math.min(seconds, 60))));
    }
}
