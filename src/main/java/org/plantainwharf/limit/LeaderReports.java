package org.plantainwharf.limit;

import java.util.Optional;

import org.plantainwharf.board.Board;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.LinkedPeers;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;

/**
 * Sends the periodic reports of an entry daemon to the leader of the control group, which acts on them. The other control
 * daemons need them only in case they become the leader, and get one of several reports. Invariant: without a known leader
 * all of them get each report. Owned by the control thread.
 */
public final class LeaderReports {
    private final int periodsOfOthers;
    private int reports;

    private LeaderReports(int periodsOfOthers) {
        this.periodsOfOthers = periodsOfOthers;
    }

    /**
     * Creates the sender of one kind of report.
     *
     * @param periodsOfOthers number of reports of which the control daemons that do not lead get one
     */
    public static LeaderReports create(int periodsOfOthers) {
        return new LeaderReports(periodsOfOthers);
    }

    /** Sends a report. */
    public void send(PeerMessage report, Board board, long nowNanos, Effects effects) {
        Optional<HostId> leader = board.allowances()
                .leader(nowNanos)
                .filter(host ->
                        board.membership().member(host).map(Member::linked).orElse(false));
        boolean toAll = leader.isEmpty() || reports % periodsOfOthers == 0;
        reports++;
        if (toAll) {
            LinkedPeers.broadcast(report, board, effects);
        } else {
            effects.add(new PeerEffect.SendToPeer(leader.get(), report));
        }
    }
}
