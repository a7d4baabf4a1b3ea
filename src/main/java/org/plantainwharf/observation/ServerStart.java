package org.plantainwharf.observation;

import org.plantainwharf.identity.ServerId;

/**
 * One start of a backend server, as a digest of its id and its start time. What was learned of an earlier start has another
 * digest, so it is never applied to a later one. With 10,000 starts the probability that any two have one digest is below
 * 10 to the power of -11. Immutable.
 */
public record ServerStart(long digest) {
    /**
     * Returns the digest of one start.
     *
     * @param startEpochMillis start of the server in milliseconds since the epoch
     */
    public static ServerStart of(ServerId server, long startEpochMillis) {
        return new ServerStart(Digest.combine(Digest.of(server.value()), startEpochMillis));
    }
}
