package org.plantainwharf.server;

import java.util.Optional;

/** Determines when the lease given by an announcement starts. Stateless and thread-safe. */
@FunctionalInterface
interface LeaseStart {
    /**
     * Returns the start of the lease, or empty if the announcement gives none.
     *
     * @param tokenNanos when this host issued the token that came back with the announcement or the relayed lease,
     *     empty for an unknown token
     * @param nowNanos when the announcement arrived
     */
    Optional<Long> start(Optional<Long> tokenNanos, long nowNanos);

    /**
     * Starts the lease when the token was issued. The announcement was made after that time, so a delay between the
     * announcement and its arrival shortens the lease and never extends it.
     */
    static LeaseStart fromToken() {
        return (tokenNanos, nowNanos) -> tokenNanos;
    }
}
