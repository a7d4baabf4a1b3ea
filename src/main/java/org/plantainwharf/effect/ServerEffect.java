package org.plantainwharf.effect;

import java.util.Set;

import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.ServerId;

/** What to send to backend servers besides calls. Immutable. */
public sealed interface ServerEffect extends Effect {
    /** Answers an announcement with the token to return in the next one. */
    record AnswerAnnouncement(long ticket, long token) implements ServerEffect {}

    /** Asks for the load on a connection of its own, with a short time limit. */
    record ProbeServer(ServerId server, String address, long timeoutMillis) implements ServerEffect {}

    /** Fetches cache events after a sequence number. */
    record FetchCacheEvents(ServerId server, String address, long incarnation, long afterSequence)
            implements ServerEffect {}

    /**
     * Orders the whole set of models that an engine is to hold.
     *
     * @param validUntilNanos not sent after this time on the host's monotonic clock
     */
    record OrderModels(ServerId server, String address, Set<ModelName> models, long fencingNumber, long validUntilNanos)
            implements ServerEffect {
        /** Copies the models. */
        public OrderModels {
            models = Set.copyOf(models);
        }
    }
}
