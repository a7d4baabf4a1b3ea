package org.plantainwharf.replicated;

import org.plantainwharf.identity.ServerId;

/**
 * A start of a backend server that has announced its end. It gets no new work, whatever reports of the same or an
 * earlier start arrive later. Immutable.
 *
 * @param startEpochMillis start of the server in milliseconds since the epoch; 0 if it never stated one
 * @param deregistered whether the server has deregistered; otherwise it is finishing its work
 */
public record Departure(ServerId server, long startEpochMillis, boolean deregistered) {
    /** Number of servers whose newest departure is kept; the ones recorded first are dropped first. */
    public static final int MAXIMUM_REMEMBERED = 8_192;

    /** Returns whether this says all that another departure says, and that one is of the same server. */
    public boolean covers(Departure other) {
        return server.equals(other.server)
                && (startEpochMillis > other.startEpochMillis
                        || startEpochMillis == other.startEpochMillis && (deregistered || !other.deregistered));
    }
}
