package org.plantainwharf.admission;

import org.plantainwharf.call.CallKind;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RouteName;

/** What a call needs a backend server for; calls with equal destinations compete for the same slots. Immutable. */
public sealed interface Destination {
    /** Engines that hold a model. */
    record Engines(ModelName model) implements Destination {}

    /** Plain services that answer a route. */
    record Services(RouteName route) implements Destination {}

    /** Returns the destination of a kind of call. */
    static Destination of(CallKind kind) {
        return switch (kind) {
            case CallKind.Model model -> new Engines(model.model());
            case CallKind.LongWork work -> new Engines(work.model().model());
            case CallKind.Service service -> new Services(service.route());
            case CallKind.Order order -> new Services(order.route());
        };
    }

    /** Returns the name of the model or the route, for messages. */
    default String label() {
        return switch (this) {
            case Engines engines -> engines.model().value();
            case Services services -> services.route().value();
        };
    }
}
