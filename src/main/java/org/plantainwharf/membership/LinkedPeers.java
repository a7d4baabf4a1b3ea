package org.plantainwharf.membership;

import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.PeerMessage;

/** Sends messages to all linked daemons. Stateless. */
public final class LinkedPeers {
    private LinkedPeers() {}

    /** Sends a message to every linked daemon. */
    public static void broadcast(PeerMessage message, Board board, Effects effects) {
        broadcastExcept(Optional.empty(), message, board, effects);
    }

    /**
     * Sends a message to every linked daemon except {@code origin}, from which it was received; empty excludes none.
     */
    public static void broadcastExcept(Optional<HostId> origin, PeerMessage message, Board board, Effects effects) {
        for (Member member : board.membership().members()) {
            if (member.linked() && !origin.equals(Optional.of(member.host()))) {
                effects.add(new PeerEffect.SendToPeer(member.host(), message));
            }
        }
    }
}
