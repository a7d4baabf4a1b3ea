package org.plantainwharf.routing;

/**
 * Exponentially weighted moving averages of the latencies measured at one server, or at all servers of a destination.
 * Owned by the control thread.
 */
public final class LatencyEstimate {
    private static final double SMOOTHING_FACTOR = 0.1;

    private double prefillMillisPerToken;
    private double decodeMillisPerToken;
    private double serviceMillis;

    private LatencyEstimate(double prefillMillisPerToken, double decodeMillisPerToken, double serviceMillis) {
        this.prefillMillisPerToken = prefillMillisPerToken;
        this.decodeMillisPerToken = decodeMillisPerToken;
        this.serviceMillis = serviceMillis;
    }

    /** Returns the estimate for a typical server, used until the first sample. */
    static LatencyEstimate initial() {
        return new LatencyEstimate(0.2, 20, 50);
    }

    /** Returns a copy, used as the initial estimate for a server without samples. */
    LatencyEstimate copy() {
        return new LatencyEstimate(prefillMillisPerToken, decodeMillisPerToken, serviceMillis);
    }

    void addPrefillSample(double millisPerToken) {
        prefillMillisPerToken += SMOOTHING_FACTOR * (millisPerToken - prefillMillisPerToken);
    }

    void addDecodeSample(double millisPerToken) {
        decodeMillisPerToken += SMOOTHING_FACTOR * (millisPerToken - decodeMillisPerToken);
    }

    void addServiceSample(double millis) {
        serviceMillis += SMOOTHING_FACTOR * (millis - serviceMillis);
    }

    /** Returns the estimated time to process one prompt token, in milliseconds. */
    public double prefillMillisPerToken() {
        return prefillMillisPerToken;
    }

    /** Returns the estimated time to generate one token, in milliseconds. */
    public double decodeMillisPerToken() {
        return decodeMillisPerToken;
    }

    /** Returns the estimated response time of a plain service, in milliseconds. */
    public double serviceMillis() {
        return serviceMillis;
    }
}
