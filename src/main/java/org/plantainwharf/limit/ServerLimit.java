package org.plantainwharf.limit;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.message.ServerLimitShare;

/**
 * One daemon's part in the request limit of a server. The limit is the one of the newest answer of the server that this
 * daemon or, as far as it was told, any other has passed on. Requests are paid from tokens that accrue at this daemon's
 * fraction of the limit; a request may be sent while any are left, so that fractions of a request per second add up over
 * the daemons. Owned by the control thread.
 */
final class ServerLimit {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Time for which tokens accrue at most without being used. */
    private static final double SAVED_SECONDS = 0.5;

    /** Maximum of saved tokens, so that the daemons together do not send a burst after a pause. */
    private static final double MAXIMUM_SAVED_TOKENS = 1;

    /** Upper bound of the time that an answer's limit needs to be told by another daemon; its age may be off by this. */
    private static final long RELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Weight of the newest period in the demand. */
    private static final double DEMAND_SMOOTHING_WEIGHT = 0.15;

    private OptionalDouble requestsPerSecond = OptionalDouble.empty();
    private long namedNanos = Long.MIN_VALUE;
    private boolean namedToThisDaemon;
    private double fraction;
    private double tokens;
    private long accruedNanos;
    private int wantedInPeriod;
    private double demandPerSecond;

    /**
     * Creates a limit that no answer has named.
     *
     * @param fraction fraction of the limit until the first grant
     * @param debt tokens that are owed at first; random in 0 to 1, so that daemons that learn of a small limit at the
     *     same time do not all send a request at once
     */
    ServerLimit(double fraction, double debt, long nowNanos) {
        this.fraction = fraction;
        this.tokens = -debt;
        this.accruedNanos = nowNanos;
    }

    /** Returns the limit over all daemons; empty if the server accepts any number of requests. */
    OptionalDouble requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Records the limit in an answer of the server. */
    void recordAnswer(OptionalDouble named, long nowNanos) {
        accrue(nowNanos);
        requestsPerSecond = named;
        namedNanos = nowNanos;
        namedToThisDaemon = true;
    }

    void applyShare(ServerLimitShare share, long nowNanos) {
        accrue(nowNanos);
        fraction = share.fraction();
        long shareNamedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(share.ageMillis());
        if (namedNanos == Long.MIN_VALUE || shareNamedNanos - namedNanos > RELAY_NANOS) {
            requestsPerSecond = share.requestsPerSecond();
            namedNanos = shareNamedNanos;
            namedToThisDaemon = false;
        }
    }

    /** Reduces the fraction when the daemon's grant has ended and the others may use its share. */
    void setFraction(double newFraction, long nowNanos) {
        accrue(nowNanos);
        fraction = newFraction;
    }

    double fraction() {
        return fraction;
    }

    /** Returns whether this daemon may send the server a request now. */
    boolean permits(long nowNanos) {
        accrue(nowNanos);
        return requestsPerSecond.isEmpty() || tokens > 0;
    }

    /** Pays for a request that is sent. */
    void charge(long nowNanos) {
        accrue(nowNanos);
        if (requestsPerSecond.isPresent()) {
            tokens--;
        }
    }

    /** Returns the time until this daemon may send the server a request, in milliseconds. */
    long millisUntilPermitted(long nowNanos) {
        if (permits(nowNanos)) {
            return 0;
        }
        double rate = requestsPerSecond.getAsDouble() * fraction;
        return rate <= 0 ? Long.MAX_VALUE : (long) Math.ceil(-tokens / rate * 1_000) + 1;
    }

    /** Records that this daemon would send the server a request if its share of the limit sufficed. */
    void recordWanted() {
        wantedInPeriod++;
    }

    /** Ends a period of the demand. */
    void endPeriod(double periodSeconds) {
        demandPerSecond += DEMAND_SMOOTHING_WEIGHT * (wantedInPeriod / periodSeconds - demandPerSecond);
        wantedInPeriod = 0;
    }

    double demandPerSecond() {
        return demandPerSecond;
    }

    /** Returns the time since the newest answer that this daemon has passed on; -1 if another daemon knows a newer one. */
    long ownAgeMillis(long nowNanos) {
        return namedToThisDaemon ? (nowNanos - namedNanos) / 1_000_000 : -1;
    }

    /** Returns whether neither a limit nor the end of one within the given time is known. */
    boolean isIdle(long nowNanos, long idleNanos) {
        return requestsPerSecond.isEmpty() && (namedNanos == Long.MIN_VALUE || nowNanos - namedNanos > idleNanos);
    }

    private void accrue(long nowNanos) {
        if (requestsPerSecond.isPresent()) {
            double rate = requestsPerSecond.getAsDouble() * fraction;
            double saved = Math.min(MAXIMUM_SAVED_TOKENS, rate * SAVED_SECONDS);
            double accrued = tokens + rate * (nowNanos - accruedNanos) / NANOS_PER_SECOND;
            tokens = Math.max(tokens, Math.min(saved, accrued));
        }
        accruedNanos = nowNanos;
    }
}
