package org.plantainwharf.routing;

/** Exponentially weighted means of the speed seen at a server, or over all servers. Owned by the control thread. */
public final class LearnedSpeed {
    private static final double SMOOTHING = 0.1;

    private double prefillMillisPerToken;
    private double decodeMillisPerToken;
    private double serviceMillis;

    private LearnedSpeed(double prefillMillisPerToken, double decodeMillisPerToken, double serviceMillis) {
        this.prefillMillisPerToken = prefillMillisPerToken;
        this.decodeMillisPerToken = decodeMillisPerToken;
        this.serviceMillis = serviceMillis;
    }

    /** Returns figures of a middling server, used until something was learned. */
    static LearnedSpeed initial() {
        return new LearnedSpeed(0.2, 20, 50);
    }

    /** Returns a copy, the first assumption on a server that was not used yet. */
    LearnedSpeed copy() {
        return new LearnedSpeed(prefillMillisPerToken, decodeMillisPerToken, serviceMillis);
    }

    void learnPrefill(double millisPerToken) {
        prefillMillisPerToken += SMOOTHING * (millisPerToken - prefillMillisPerToken);
    }

    void learnDecode(double millisPerToken) {
        decodeMillisPerToken += SMOOTHING * (millisPerToken - decodeMillisPerToken);
    }

    void learnService(double millis) {
        serviceMillis += SMOOTHING * (millis - serviceMillis);
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
