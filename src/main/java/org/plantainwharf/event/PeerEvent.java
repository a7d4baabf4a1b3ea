package org.plantainwharf.event;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;

/** What happens on links to other daemons. Immutable. */
public sealed interface PeerEvent extends Event {
    /** The other daemon. */
    HostId peer();

    /** A link is open and the other side has identified itself. */
    record PeerConnected(HostId peer, AvailabilityZone zone, long incarnation) implements PeerEvent {}

    /** The link of one incarnation closed. */
    record PeerDisconnected(HostId peer, long incarnation) implements PeerEvent {}

    /** A message arrived. */
    record PeerMessageReceived(HostId peer, long incarnation, PeerMessage message) implements PeerEvent {}
}
