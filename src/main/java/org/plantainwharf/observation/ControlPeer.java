package org.plantainwharf.observation;

import java.util.Comparator;
import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.Member;

/**
 * Chooses the control daemon to which an entry daemon sends what it has seen, and which sends it what others have seen.
 * Entry daemons are linked to control daemons only. Stateless.
 */
final class ControlPeer {
    private ControlPeer() {}

    /**
     * Returns a linked control daemon of this zone, or of another zone if there is none. Rendezvous hashing spreads the entry
     * daemons over the control daemons and keeps the choice until the chosen one is lost.
     */
    static Optional<HostId> of(Board board) {
        long self = Digest.of(board.membership().self().value());
        return board.membership().members().stream()
                .filter(member -> member.linked() && !member.draining())
                .max(Comparator.comparing((Member member) ->
                                member.zone().equals(board.membership().zone()))
                        .thenComparingLong(member ->
                                Digest.combine(self, Digest.of(member.host().value()))))
                .map(Member::host);
    }
}
