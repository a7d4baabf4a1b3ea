package org.plantainwharf.document;

import java.util.List;
import java.util.Map;

import org.plantainwharf.identity.ServiceName;

/**
 * The complete configuration that an operator submits. Immutable.
 *
 * <p>Invariants: every route refers to known services with a positive sum of weights and has a positive timeout; no two
 * routes have the same host and prefix; no two accounts have the same key.
 *
 * @param version increases from one document to the next, not necessarily by 1
 * @param accounts empty if requests need no key
 */
public record ServiceDocument(
        long version,
        List<RouteRule> routes,
        Map<ServiceName, ServiceRule> services,
        CallerBounds bounds,
        List<AccountRule> accounts) {
    /** Copies the collections. */
    public ServiceDocument {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
        accounts = List.copyOf(accounts);
    }
}
