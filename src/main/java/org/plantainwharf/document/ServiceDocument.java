package org.plantainwharf.document;

import java.util.List;
import java.util.Map;

import org.plantainwharf.identity.ServiceName;

/**
 * What the operator set, as one whole. Valid: every route names known services with a positive sum of weights and a
 * positive time-out, no two routes share host and prefix, and no two accounts share a key. Immutable.
 *
 * @param version grows from one document to the next, in uneven steps
 * @param accounts empty when requests need no key
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
