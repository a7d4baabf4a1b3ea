package org.plantainwharf.message;

import java.util.OptionalDouble;

/**
 * What one daemon knows of the request limit of a server, and its demand for it. Immutable.
 *
 * @param requestsPerSecond limit that the server named in the newest answer that the sender passed on; empty if that
 *     answer named none
 * @param ageMillis time since that answer; negative if the sender has passed on none
 * @param demandPerSecond requests per second that the sender would send to the server without its limit
 */
public record ServerLimitUse(OptionalDouble requestsPerSecond, long ageMillis, double demandPerSecond) {}
