package org.plantainwharf.event;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;

/** What the cloud platform says. Immutable. */
public sealed interface PlatformEvent extends Event {
    /** The host of a backend server will be reclaimed. */
    record ServerReclaimNoticed(ServerId server, long noticeMillis) implements PlatformEvent {}

    /** This host or another entry host will be reclaimed. */
    record HostReclaimNoticed(HostId host, long noticeMillis) implements PlatformEvent {}

    /** A host start succeeded. */
    record HostStarted(String token, String platformHost) implements PlatformEvent {}

    /** A host start was refused. */
    record HostStartRefused(String token, AvailabilityZone zone, HostClass hostClass, String reason)
            implements PlatformEvent {}
}
