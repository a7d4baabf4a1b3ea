package org.plantainwharf.event;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;

/** Notices and results from the cloud platform. Immutable. */
public sealed interface PlatformEvent extends Event {
    /** The platform will reclaim the host of a backend server after {@code noticeMillis}. */
    record ServerReclaimNoticed(ServerId server, long noticeMillis) implements PlatformEvent {}

    /** The platform will reclaim this host or another entry host after {@code noticeMillis}. */
    record HostReclaimNoticed(HostId host, long noticeMillis) implements PlatformEvent {}

    /**
     * A host start succeeded.
     *
     * @param token identifies the start, as given with {@code StartHost}
     * @param platformHost the platform's name of the new host
     */
    record HostStarted(String token, String platformHost) implements PlatformEvent {}

    /** The platform refused to start a host. */
    record HostStartRefused(String token, AvailabilityZone zone, HostClass hostClass, String reason)
            implements PlatformEvent {}
}
