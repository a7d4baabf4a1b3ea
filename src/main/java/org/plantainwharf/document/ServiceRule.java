package org.plantainwharf.document;

import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

/**
 * Configuration of the servers of one service. Immutable.
 *
 * @param maximumConnections maximum number of connections that one server accepts from all callers together
 * @param engine present for model engines
 * @param scaling present if this system controls the number of servers
 */
public record ServiceRule(
        ServiceName name, long maximumConnections, Optional<Engine> engine, Optional<Scaling> scaling) {
    /**
     * Capacity of one model engine.
     *
     * @param slots maximum number of concurrent requests
     * @param memoryCapacityTokens tokens of running requests and cached prompt parts that fit into its memory
     */
    public record Engine(long slots, long memoryCapacityTokens) {}

    /**
     * Bounds of the number of servers, and their prices. The bounds apply to the sum of reclaimable and ordinary
     * servers in each zone.
     *
     * @param minimumServers minimum number of servers in a zone; at most {@link #MAXIMUM_SERVERS} in all zones
     * @param maximumServers maximum number of servers in a zone
     * @param startupMillis time from ordering a server until it serves requests
     * @param reclaimablePriceRatio price of a reclaimable server as a fraction of the price of an ordinary one
     * @param zonePrices price of a server per second, by zone
     */
    public record Scaling(
            int minimumServers,
            long maximumServers,
            long startupMillis,
            double reclaimablePriceRatio,
            Map<AvailabilityZone, Double> zonePrices) {
        /** Most servers of a service that can be ordered, so that sums of them fit into an int. */
        public static final int MAXIMUM_SERVERS = 100_000_000;

        /** Copies the prices. */
        public Scaling {
            zonePrices = Map.copyOf(zonePrices);
        }
    }
}
