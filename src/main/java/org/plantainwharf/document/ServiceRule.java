package org.plantainwharf.document;

import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

/**
 * What is set for the servers of one service. Immutable.
 *
 * @param maximumConnections connections that one server accepts from all callers together
 * @param engine present for model engines
 * @param scaling present where the number of servers may be ordered
 */
public record ServiceRule(
        ServiceName name, int maximumConnections, Optional<Engine> engine, Optional<Scaling> scaling) {
    /**
     * Sizes of one model engine.
     *
     * @param slots requests that run at once
     * @param memoryCapacityTokens tokens of running requests and cached parts that fit
     */
    public record Engine(int slots, long memoryCapacityTokens) {}

    /**
     * Bounds and prices of the number of servers. Both kinds of server together stay between the bounds in each zone.
     *
     * @param minimum least servers in a zone
     * @param maximum most servers in a zone
     * @param bootMillis time from an order until a new server serves
     * @param reclaimablePriceRatio price of a reclaimable server as a part of an ordinary one's
     * @param zonePrices price of a second of a server by zone
     */
    public record Scaling(
            int minimum,
            int maximum,
            long bootMillis,
            double reclaimablePriceRatio,
            Map<AvailabilityZone, Double> zonePrices) {
        /** Copies the prices. */
        public Scaling {
            zonePrices = Map.copyOf(zonePrices);
        }
    }
}
