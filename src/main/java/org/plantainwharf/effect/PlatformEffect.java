package org.plantainwharf.effect;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;

/** Requests to the cloud platform. Immutable. */
public sealed interface PlatformEffect extends Effect {
    /** Starts a host. The platform starts at most one host for each token. */
    record StartHost(String token, AvailabilityZone zone, HostClass hostClass) implements PlatformEffect {}

    /** Returns a host to the platform. */
    record StopHost(String platformHost) implements PlatformEffect {}
}
