package org.plantainwharf.codec;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;

/**
 * The first frame in each direction of a link. It identifies the sender for all later frames. Immutable.
 *
 * @param protocolVersion version of the wire protocol that the sender uses
 * @param incarnation changes with every start of the sender's process
 */
public record Hello(int protocolVersion, HostId host, AvailabilityZone zone, long incarnation) {
    /** The protocol version of this build. Incremented by every change that an older daemon would misinterpret. */
    public static final int CURRENT_VERSION = 2;

    /** Returns a hello with the current protocol version. */
    public static Hello of(HostId host, AvailabilityZone zone, long incarnation) {
        return new Hello(CURRENT_VERSION, host, zone, incarnation);
    }
}
