package org.plantainwharf.capacity;

import java.util.Set;
import java.util.TreeSet;

import org.plantainwharf.identity.ModelName;

/**
 * The models that one incarnation of an engine is to load. The order is repeated until the engine reports exactly
 * these. Immutable.
 *
 * @param lastSentNanos when the order was last sent
 * @param confirmed whether the engine reported exactly these models after the order
 */
record EngineOrder(long incarnation, Set<ModelName> models, long lastSentNanos, boolean confirmed) {
    EngineOrder {
        models = Set.copyOf(models);
    }

    /** Returns whether the state that was read back, sorted model names separated by commas, is the ordered one. */
    boolean matches(String stateReadBack) {
        TreeSet<String> names = new TreeSet<>();
        models.forEach(model -> names.add(model.value()));
        return String.join(",", names).equals(stateReadBack);
    }

    EngineOrder resent(long nowNanos) {
        return new EngineOrder(incarnation, models, nowNanos, false);
    }

    EngineOrder asConfirmed() {
        return new EngineOrder(incarnation, models, lastSentNanos, true);
    }
}
