package org.plantainwharf.membership;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;

/**
 * State of another daemon as known to this host. Immutable.
 *
 * @param incarnation changes with every start of the daemon, 0 before its first connection
 * @param linked whether a link is open
 * @param lastHeardNanos when it connected or its last message arrived, on this host's monotonic clock
 * @param draining whether it is draining
 * @param configurationVersion version of the sheet in force on it, 0 for none
 */
public record Member(
        HostId host,
        AvailabilityZone zone,
        long incarnation,
        boolean linked,
        long lastHeardNanos,
        boolean draining,
        long configurationVersion) {}
