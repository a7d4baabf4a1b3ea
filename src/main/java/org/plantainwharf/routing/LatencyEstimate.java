package org.plantainwharf.routing;

/** Exponentially weighted means of the speed seen at a server, or over all servers. Owned by the control thread. */
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

    /** Returns figures of a middling server, used until something was learned. */
    static LatencyEstimate initial() {
        return new LatencyEstimate(0.2, 20, 50);
    }

    /** Returns a copy, the first assumption on a server that was not used yet. */
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

    /** Returns milliseconds to process one token of a prompt. */
    public double prefillMillisPerToken() {
        return prefillMillisPerToken;
    }

    /** Returns milliseconds to generate one token. */
    public double decodeMillisPerToken() {
        return decodeMillisPerToken;
    }

    /** Returns milliseconds to answer a plain service call. */
    public double serviceMillis() {
        return serviceMillis;
    }
}
