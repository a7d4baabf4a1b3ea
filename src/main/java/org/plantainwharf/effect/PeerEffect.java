package org.plantainwharf.effect;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;

/** Actions on links to other daemons. Immutable. */
public sealed interface PeerEffect extends Effect {
    /** Returns the host of the other daemon. */
    HostId peer();

    /** Sends a message. Without a link the message is dropped and the drop is counted. */
    record SendToPeer(HostId peer, PeerMessage message) implements PeerEffect {}

    /** Maintains a link to a discovered daemon. Has no effect if the link is already maintained. */
    record DialPeer(HostId peer, String address) implements PeerEffect {}

    /** Closes a silent link, which is then dialled again. */
    record CloseLink(HostId peer) implements PeerEffect {}
}
