package org.plantainwharf.message;

/**
 * One daemon's demand for one service. Immutable.
 *
 * @param inFlight requests sent to the service's servers that have not ended
 * @param waiting requests queued at this daemon for a server
 * @param promptTokensPerSecond estimated rate of prompt tokens that servers have to process or would have to, had
 *     their requests not been turned away; on slower servers more tokens and on faster ones fewer, so that a token takes
 *     0.01 ms
 * @param outputTokensPerSecond rate of output tokens that arriving requests allow
 */
public record ServiceDemand(
        double inFlight, double waiting, double promptTokensPerSecond, double outputTokensPerSecond) {}
