package org.plantainwharf.event;

import java.util.List;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.server.Announcement;

/** Announcements, probe results, cache changes and answers to orders of backend servers. Immutable. */
public sealed interface ServerEvent extends Event {
    /**
     * A server announced itself to this host.
     *
     * @param echoedToken the token that this host sent in its last answer, 0 for a first announcement
     * @param ticket identifies the exchange to answer with a new token
     */
    record ServerAnnounced(Announcement announcement, long echoedToken, long ticket) implements ServerEvent {}

    /** A health probe, sent on a separate connection, ended. */
    record ProbeFinished(ServerId server, boolean answered) implements ServerEvent {}

    /**
     * Cache events of a model engine arrived.
     *
     * @param firstSequence sequence number of the first event
     * @param lastSequence sequence number of the last event
     * @param stored hashes of cache blocks that the engine now holds
     * @param evicted hashes of cache blocks that it no longer holds
     * @param fullSnapshot whether {@code stored} lists all blocks that the engine holds
     */
    record CacheChanged(
            ServerId server,
            long incarnation,
            long firstSequence,
            long lastSequence,
            List<Long> stored,
            List<Long> evicted,
            boolean fullSnapshot)
            implements ServerEvent {
        /** Copies the lists. */
        public CacheChanged {
            stored = List.copyOf(stored);
            evicted = List.copyOf(evicted);
        }
    }

    /**
     * A model engine answered an order to load models.
     *
     * @param accepted whether the engine accepted the order
     * @param reportedModels sorted, comma-separated names of the models that the engine reported after the order, empty
     *     if they could not be read
     */
    record EngineOrderAnswered(ServerId server, long fencingNumber, boolean accepted, String reportedModels)
            implements ServerEvent {}
}
