package org.plantainwharf.effect;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;

/** What to do on links to other daemons. Immutable. */
public sealed interface PeerEffect extends Effect {
    /** The other daemon. */
    HostId peer();

    /** Sends a message; dropped and counted when there is no link. */
    record SendToPeer(HostId peer, PeerMessage message) implements PeerEffect {}

    /** Keeps a link open to a daemon that was discovered; nothing changes when one is kept already. */
    record DialPeer(HostId peer, String address) implements PeerEffect {}

    /** Closes a link that went silent; it is dialled again. */
    record CloseLink(HostId peer) implements PeerEffect {}
}
