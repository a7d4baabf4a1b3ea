package org.plantainwharf.server;

import java.util.Set;

import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RouteName;

/** What a backend server runs. Immutable. */
public sealed interface ServerKind {
    /**
     * A model engine.
     *
     * @param models loaded models
     * @param checksFencing whether it refuses an order with an old fencing number
     * @param movesCache whether it can export and import KV cache blocks
     */
    record ModelEngine(Set<ModelName> models, boolean checksFencing, boolean movesCache) implements ServerKind {
        public ModelEngine {
            models = Set.copyOf(models);
        }
    }

    /** A plain service and the routes that it serves. */
    record PlainService(Set<RouteName> routes) implements ServerKind {
        public PlainService {
            routes = Set.copyOf(routes);
        }
    }
}
