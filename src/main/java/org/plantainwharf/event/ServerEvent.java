package org.plantainwharf.event;

import java.util.List;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.server.Announcement;

/** What backend servers report. Immutable. */
public sealed interface ServerEvent extends Event {
    /**
     * A server announced itself to this host.
     *
     * @param returnedToken the token of this host's last answer, 0 for a first announcement
     * @param ticket identifies the exchange to answer with a new token
     */
    record ServerAnnounced(Announcement announcement, long returnedToken, long ticket) implements ServerEvent {}

    /** A probe on a connection of its own ended. */
    record ProbeFinished(ServerId server, boolean answered) implements ServerEvent {}

    /**
     * Cache events of an engine arrived.
     *
     * @param firstSequence sequence number of the first event
     * @param lastSequence sequence number of the last event
     * @param stored hashes of blocks that the engine now holds
     * @param evicted hashes of blocks that it no longer holds
     * @param whole whether {@code stored} lists everything the engine holds
     */
    record CacheChanged(
            ServerId server,
            long incarnation,
            long firstSequence,
            long lastSequence,
            List<Long> stored,
            List<Long> evicted,
            boolean whole)
            implements ServerEvent {
        /** Copies the lists. */
        public CacheChanged {
            stored = List.copyOf(stored);
            evicted = List.copyOf(evicted);
        }
    }

    /** An order to an engine was answered. */
    record EngineOrderAnswered(ServerId server, long fencingNumber, boolean accepted, String stateReadBack)
            implements ServerEvent {}
}
