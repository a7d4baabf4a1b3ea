package org.plantainwharf.registry;

import java.util.OptionalLong;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServiceName;

/**
 * What a backend server says of itself. Immutable.
 *
 * @param born start of the server in milliseconds since the epoch, 0 where it does not say
 * @param sequence grows with each report of one start
 * @param address where it takes requests, as IP number and port
 * @param slots requests that it runs at once
 * @param warmupMillis how much longer it stays slow after its start
 * @param reclaimable whether the platform may take it away
 * @param leavesMillis time until it is taken away, when that is known
 */
public record ServerReport(
        ServerId server,
        long born,
        long sequence,
        ServiceName service,
        String address,
        AvailabilityZone zone,
        int slots,
        ServerPhase phase,
        long warmupMillis,
        boolean reclaimable,
        OptionalLong leavesMillis) {
    /** Says whether this report is newer than another of the same server. */
    public boolean newerThan(ServerReport other) {
        return born > other.born || born == other.born && sequence > other.sequence;
    }

    /** Returns this report with another phase. */
    public ServerReport withPhase(ServerPhase newPhase) {
        return new ServerReport(
                server,
                born,
                sequence,
                service,
                address,
                zone,
                slots,
                newPhase,
                warmupMillis,
                reclaimable,
                leavesMillis);
    }
}
