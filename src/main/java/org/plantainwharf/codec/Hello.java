package org.plantainwharf.codec;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;

/**
 * The first frame in each direction of a link. It identifies the sender for all later frames. Immutable.
 *
 * @param protocolVersion version of the wire protocol that the sender uses
 * @param incarnation changes with every start of the sender's process
 * @param understood the kinds of messages that the sender understands
 */
public record Hello(
        int protocolVersion, HostId host, AvailabilityZone zone, long incarnation, MessageKinds understood) {
    /**
     * The protocol version of this build and of all that it works with. New kinds of messages and new fields leave it as it
     * is; daemons of different versions do not link at all.
     */
    public static final int CURRENT_VERSION = 2;

    /** Returns a hello of this build. */
    public static Hello of(HostId host, AvailabilityZone zone, long incarnation) {
        return new Hello(CURRENT_VERSION, host, zone, incarnation, MessageKinds.current());
    }
}
