package org.plantainwharf.sheet;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;

/**
 * The cost budget of one host class in one availability zone. Immutable.
 *
 * @param zone the availability zone
 * @param hostClass the host class
 * @param pricePerHour price of one host, in the sheet's currency
 * @param maximumPerHour maximum cost per hour, in the sheet's currency
 * @param reclaimable whether the platform may reclaim hosts of this class
 */
public record Budget(
        AvailabilityZone zone, HostClass hostClass, double pricePerHour, double maximumPerHour, boolean reclaimable) {}
