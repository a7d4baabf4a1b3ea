package org.plantainwharf.handover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.Member;
import org.plantainwharf.message.PeerMessage;

/**
 * Tells an entry daemon that does not reach the servers of a service which other entry daemons do. Knows of an entry daemon
 * only while it is linked. Runs on the control thread of control daemons.
 */
public final class HelperController implements Controller {
    /** Entry daemons that are named to one that needs help. With more, each one's refusals would be learned more slowly. */
    static final int MAXIMUM_HELPERS = 8;

    private final Map<HostId, PeerMessage.ReachReport> reports = new HashMap<>();

    private HelperController() {}

    public static HelperController create() {
        return new HelperController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.ReachReport report) {
                    reports.put(received.peer(), report);
                    if (!report.unreached().isEmpty()) {
                        effects.add(new PeerEffect.SendToPeer(
                                received.peer(), new PeerMessage.Helpers(helpers(received.peer(), report, board))));
                    }
                }
            }
            case PeerEvent.PeerDisconnected disconnected -> reports.remove(disconnected.peer());
            case PeerEvent ignored -> {}
            case TimerEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case DutyEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private List<String> helpers(HostId asking, PeerMessage.ReachReport report, Board board) {
        List<String> willing = new ArrayList<>();
        for (Member member : board.membership().members()) {
            PeerMessage.ReachReport known = reports.get(member.host());
            if (known != null
                    && member.linked()
                    && !member.draining()
                    && !member.host().equals(asking)
                    && known.unreached().stream().noneMatch(report.unreached()::contains)) {
                willing.add(known.callerAddress());
            }
        }
        List<String> drawn = new ArrayList<>();
        while (drawn.size() < MAXIMUM_HELPERS && !willing.isEmpty()) {
            drawn.add(willing.remove(board.random().nextInt(willing.size())));
        }
        return drawn;
    }
}
