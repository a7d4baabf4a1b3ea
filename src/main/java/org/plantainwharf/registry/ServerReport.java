package org.plantainwharf.registry;

import java.util.OptionalLong;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;

/**
 * A backend server's report about itself. Immutable.
 *
 * @param startEpochMillis start of the server in milliseconds since the epoch; 0 if the server does not say
 * @param sequence increases with each report of one start
 * @param address IP address and port at which the server accepts requests
 * @param slots maximum number of concurrent requests
 * @param remainingWarmupMillis remaining time of reduced speed after the start
 * @param reclaimable whether the platform may reclaim the server
 * @param millisUntilReclaim time until the platform reclaims the server; empty if it is not known
 * @param version software version of the server; unstated if it names none
 */
public record ServerReport(
        ServerId server,
        long startEpochMillis,
        long sequence,
        ServiceName service,
        String address,
        AvailabilityZone zone,
        int slots,
        ServerPhase phase,
        long remainingWarmupMillis,
        boolean reclaimable,
        OptionalLong millisUntilReclaim,
        ServerVersion version) {
    /** Returns whether this report is newer than another one of the same server: of a later start, or later in it. */
    public boolean newerThan(ServerReport other) {
        return startEpochMillis > other.startEpochMillis
                || startEpochMillis == other.startEpochMillis && sequence > other.sequence;
    }

    /** Returns this report with another phase. */
    public ServerReport withPhase(ServerPhase newPhase) {
        return new ServerReport(
                server,
                startEpochMillis,
                sequence,
                service,
                address,
                zone,
                slots,
                newPhase,
                remainingWarmupMillis,
                reclaimable,
                millisUntilReclaim,
                version);
    }

    /** Returns this report with another software version. */
    ServerReport withVersion(ServerVersion newVersion) {
        return new ServerReport(
                server,
                startEpochMillis,
                sequence,
                service,
                address,
                zone,
                slots,
                phase,
                remainingWarmupMillis,
                reclaimable,
                millisUntilReclaim,
                newVersion);
    }
}
