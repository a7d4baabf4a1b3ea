package org.plantainwharf.server;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.ServerId;

/**
 * What a backend server says of itself. Immutable.
 *
 * @param server the server
 * @param incarnation changes with every start of the server's process
 * @param sequence counts the announcements of one incarnation
 * @param address IP number and port, for example {@code 127.0.0.1:8080}
 * @param zone the availability zone
 * @param hostClass the host class
 * @param kind what it runs
 * @param slots most requests it runs at once
 * @param load its load when the announcement was made
 * @param leaving whether it takes no new work any more
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
    /** Says whether this announcement was made after another one of the same server. */
    public boolean isNewerThan(Announcement other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    /** Returns this announcement with the statement that the server is leaving. */
    public Announcement asLeaving() {
        return new Announcement(server, incarnation, sequence, address, zone, hostClass, kind, slots, load, true);
    }
}
