package org.plantainwharf.capacity;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;

/** A host class in an availability zone, the unit in which hosts are available, priced and refused. Immutable. */
record CapacityPool(AvailabilityZone zone, HostClass hostClass) {}
