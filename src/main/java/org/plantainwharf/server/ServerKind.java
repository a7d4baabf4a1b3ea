package org.plantainwharf.server;

import java.util.Set;

import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RouteName;

/** What a backend server runs. Immutable. */
public sealed interface ServerKind {
    /**
     * A model engine.
     *
     * @param models the models it has loaded
     * @param checksFencing whether it refuses an order with an old fencing number
     * @param movesCache whether it exports and imports KV cache
     */
    record ModelEngine(Set<ModelName> models, boolean checksFencing, boolean movesCache) implements ServerKind {
        /** Copies the models. */
        public ModelEngine {
            models = Set.copyOf(models);
        }
    }

    /** A plain service with the routes it answers. */
    record PlainService(Set<RouteName> routes) implements ServerKind {
        /** Copies the routes. */
        public PlainService {
            routes = Set.copyOf(routes);
        }
    }
}
