package org.plantainwharf.capacity;

import java.util.Set;
import java.util.TreeSet;

import org.plantainwharf.identity.ModelName;

/**
 * The models that one engine incarnation is to hold, ordered until it reports exactly these. Immutable.
 *
 * @param lastSentNanos when the order was last sent
 * @param confirmed whether the engine reported this state after the order
 */
record EngineOrder(long incarnation, Set<ModelName> models, long lastSentNanos, boolean confirmed) {
    EngineOrder {
        models = Set.copyOf(models);
    }

    /** Says whether a state read back, model names in order separated by commas, is the ordered one. */
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
