package org.plantainwharf.limit;

import java.time.Duration;

/** A token bucket whose rate changes with the leased share. Owned by the control thread. */
final class TokenBucket {
    /** Seconds of the rate that may be saved up; a bucket always holds one call. */
    private static final double BURST_SECONDS = 1;

    private double tokens = 1;
    private long updatedNanos;

    private TokenBucket(long nowNanos) {
        this.updatedNanos = nowNanos;
    }

    /** Returns a bucket with one token: a host that restarts often must not gain a burst each time. */
    static TokenBucket create(long nowNanos) {
        return new TokenBucket(nowNanos);
    }

    /** Adds what the rate gave since the last update. To be called with the rate that was valid until now. */
    void refill(double rate, long nowNanos) {
        double capacity = Math.max(1, rate * BURST_SECONDS);
        tokens = Math.min(capacity, tokens + rate * Math.max(0, nowNanos - updatedNanos) / 1e9);
        updatedNanos = nowNanos;
    }

    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the time until the next token at this rate. */
    Duration untilNext(double rate) {
        double seconds = rate <= 0 ? 1 : (1 - tokens) / rate;
        return Duration.ofSeconds(Math.max(1, (long) Math.ceil(Math.min(seconds, 60))));
    }
}
