package org.plantainwharf.capacity;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;

/** Where a host can be started: a host class in an availability zone. Immutable. */
record CapacityPool(AvailabilityZone zone, HostClass hostClass) {}
