package org.plantainwharf.message;

/**
 * One daemon's demand for one service. Immutable.
 *
 * @param inFlight requests sent to the service's servers and not ended
 * @param waiting requests that wait here for a server
 * @param promptTokensPerSecond rate of prompt tokens that servers probably have to read
 * @param outputTokensPerSecond rate of output tokens that arriving requests may ask for
 */
public record ServiceDemand(
        double inFlight, double waiting, double promptTokensPerSecond, double outputTokensPerSecond) {}
