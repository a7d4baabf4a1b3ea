package org.plantainwharf.message;

import java.util.OptionalDouble;

/**
 * One daemon's share of the request limit of a server. Immutable.
 *
 * @param requestsPerSecond limit that the server named in the newest answer that any daemon passed on; empty if that
 *     answer named none
 * @param ageMillis time since that answer
 * @param fraction fraction of the limit that is assigned to the receiver, 0 to 1
 */
public record ServerLimitShare(OptionalDouble requestsPerSecond, long ageMillis, double fraction) {}
