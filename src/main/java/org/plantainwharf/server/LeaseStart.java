package org.plantainwharf.server;

import java.util.Optional;

/** Decides from when the validity of a statement counts. Stateless and thread-safe. */
@FunctionalInterface
interface LeaseStart {
    /**
     * Returns the start of validity, or empty for none.
     *
     * @param tokenNanos when this host issued the token that came back with the statement, empty for an unknown token
     * @param nowNanos when the statement arrived
     */
    Optional<Long> start(Optional<Long> tokenNanos, long nowNanos);

    /**
     * Counts from the time the token was issued. The statement was made after that, so a delay between the statement
     * and its arrival shortens the lease and never lengthens it.
     */
    static LeaseStart fromToken() {
        return (tokenNanos, nowNanos) -> tokenNanos;
    }
}
