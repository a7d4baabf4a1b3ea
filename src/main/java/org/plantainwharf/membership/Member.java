package org.plantainwharf.membership;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;

/**
 * What this host knows of another daemon. Immutable.
 *
 * @param incarnation changes with every start of the daemon, 0 before it was first heard
 * @param linked whether a link is open
 * @param lastHeardNanos when its last message arrived, on this host's monotonic clock
 * @param draining whether it is stopping
 * @param configurationVersion version of its sheet in force, 0 for none
 */
public record Member(
        HostId host,
        AvailabilityZone zone,
        long incarnation,
        boolean linked,
        long lastHeardNanos,
        boolean draining,
        long configurationVersion) {}
