package org.plantainwharf.admission;

import org.plantainwharf.call.CallKind;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RouteName;

/** The model or route that a call needs; calls with equal destinations compete for the same slots. Immutable. */
public sealed interface Destination {
    /** Model engines that serve a model. */
    record Engines(ModelName model) implements Destination {}

    /** Plain services that serve a route. */
    record Services(RouteName route) implements Destination {}

    /** Returns the destination of calls of the given kind. */
    static Destination of(CallKind kind) {
        return switch (kind) {
            case CallKind.Model model -> new Engines(model.model());
            case CallKind.LongWork work -> new Engines(work.model().model());
            case CallKind.Service service -> new Services(service.route());
            case CallKind.Order order -> new Services(order.route());
        };
    }

    /** Returns the name of the model or route, for use in messages. */
    default String label() {
        return switch (this) {
            case Engines engines -> engines.model().value();
            case Services services -> services.route().value();
        };
    }
}
