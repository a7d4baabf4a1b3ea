package org.plantainwharf.duty;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

/**
 * Servers of one service in one zone that are either all reclaimable or all ordinary. An order sets the number of
 * servers of a whole pool. Immutable.
 *
 * @param reclaimable whether the platform may reclaim the servers; such servers cost less
 */
public record ServerPool(ServiceName service, AvailabilityZone zone, boolean reclaimable) {}
