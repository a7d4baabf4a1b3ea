package org.plantainwharf.effect;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;

/** What to ask of the cloud platform. Immutable. */
public sealed interface PlatformEffect extends Effect {
    /** Starts a host; the platform starts at most one for a token. */
    record StartHost(String token, AvailabilityZone zone, HostClass hostClass) implements PlatformEffect {}

    /** Gives a host back. */
    record StopHost(String platformHost) implements PlatformEffect {}
}
