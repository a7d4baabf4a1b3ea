package org.plantainwharf.event;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;

/** State changes and messages of links to other daemons. Immutable. */
public sealed interface PeerEvent extends Event {
    /** Returns the host of the other daemon. */
    HostId peer();

    /**
     * A link is open and the peer has identified itself.
     *
     * @param incarnation differs between starts of the peer's process
     */
    record PeerConnected(HostId peer, AvailabilityZone zone, long incarnation) implements PeerEvent {}

    /** The link to one incarnation of the peer closed. */
    record PeerDisconnected(HostId peer, long incarnation) implements PeerEvent {}

    /** A part of a large message arrived; the message follows once it is whole. */
    record ContentProgressed(HostId peer, long incarnation) implements PeerEvent {}

    /** A message arrived. */
    record PeerMessageReceived(HostId peer, long incarnation, PeerMessage message) implements PeerEvent {}
}
