package org.plantainwharf.duty;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

/**
 * Servers of one service and kind in one zone; their number is ordered as a whole. Immutable.
 *
 * @param reclaimable whether the platform may take them away, at a lower price
 */
public record Pool(ServiceName service, AvailabilityZone zone, boolean reclaimable) {}
