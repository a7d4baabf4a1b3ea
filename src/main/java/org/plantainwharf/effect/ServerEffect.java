package org.plantainwharf.effect;

import java.util.Set;

import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.ServerId;

/** Messages to backend servers other than calls. Immutable. */
public sealed interface ServerEffect extends Effect {
    /** Answers an announcement with the token that the server must return in its next one. */
    record AnswerAnnouncement(long ticket, long token) implements ServerEffect {}

    /** Queries the server's load on a separate connection with a short timeout, to check whether it responds. */
    record ProbeServer(ServerId server, String address, long timeoutMillis) implements ServerEffect {}

    /** Fetches the cache events that follow a sequence number. */
    record FetchCacheEvents(ServerId server, String address, long incarnation, long afterSequence)
            implements ServerEffect {}

    /**
     * Orders the complete set of models that an engine is to hold.
     *
     * @param fencingNumber number of the ordering leader; engines that check it refuse orders with an older number
     * @param validUntilNanos time on the host's monotonic clock after which the order must not be sent
     */
    record OrderModels(ServerId server, String address, Set<ModelName> models, long fencingNumber, long validUntilNanos)
            implements ServerEffect {
        /** Copies the models. */
        public OrderModels {
            models = Set.copyOf(models);
        }
    }
}
