package org.plantainwharf.keptpart;

/**
 * How long servers of a service keep a part that is not used. Immutable.
 *
 * @param memoryTokens tokens of kept parts for which a server has room beside its running requests
 * @param tokensPerMilli tokens of requests that a server takes in on average; what it takes in replaces what was used least
 *     recently
 */
public record Retention(double memoryTokens, double tokensPerMilli) {
    /** Fractions of the memory between which a part yields; requests differ in size, so the moment is not known exactly. */
    private static final double FIRST_YIELD = 0.6;

    private static final double LAST_YIELD = 1.2;

    /** Returns the likelihood that a part is still kept that was last used this time ago. */
    public double likelihood(double ageMillis) {
        if (memoryTokens <= 0) {
            return 0;
        }
        double replaced = tokensPerMilli * ageMillis / memoryTokens;
        return Math.max(0, Math.min(1, (LAST_YIELD - replaced) / (LAST_YIELD - FIRST_YIELD)));
    }
}
