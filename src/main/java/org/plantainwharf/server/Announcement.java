package org.plantainwharf.server;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.ServerId;

/**
 * Announcement of a backend server about itself. Immutable.
 *
 * @param server id of the server
 * @param incarnation increases with every start of the server's process
 * @param sequence number of the announcement within the incarnation
 * @param address IP address and port, for example {@code 127.0.0.1:8080}
 * @param zone availability zone of the server
 * @param hostClass host class of the server
 * @param kind what the server runs
 * @param slots maximum number of requests that it runs concurrently
 * @param load load at the time of the announcement
 * @param leaving whether it accepts no new work any more
 */
public record Announcement(
        ServerId server,
        long incarnation,
        long sequence,
        String address,
        AvailabilityZone zone,
        HostClass hostClass,
        ServerKind kind,
        int slots,
        LoadReport load,
        boolean leaving) {
    /** Returns whether this announcement was made after {@code other}, an announcement of the same server. */
    public boolean isNewerThan(Announcement other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    /** Returns a copy of this announcement in which the server is leaving. */
    public Announcement asLeaving() {
        return new Announcement(server, incarnation, sequence, address, zone, hostClass, kind, slots, load, true);
    }
}
