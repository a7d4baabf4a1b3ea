package org.plantainwharf.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

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
import org.plantainwharf.message.PeerMessage;

/**
 * Discovers the daemons that hold the log of the control group, without a configured list of all of them. Each of these
 * daemons sends the addresses it knows to every daemon that connects, and new addresses to all linked daemons. Runs on
 * the control thread.
 */
public final class DiscoveryController implements Controller {

    private final Map<HostId, String> knownAddresses = new HashMap<>();
    private final boolean holdsControlLog;

    private DiscoveryController(Map<HostId, String> seeds, Optional<String> ownAddress, HostId self) {
        knownAddresses.putAll(seeds);
        ownAddress.ifPresent(address -> knownAddresses.put(self, address));
        this.holdsControlLog = ownAddress.isPresent();
    }

    /**
     * Creates the controller.
     *
     * @param seeds link addresses of the daemons that are known at the start
     * @param ownAddress link address of this daemon, empty if it does not hold the log
     * @param self id of this daemon
     */
    public static DiscoveryController create(Map<HostId, String> seeds, Optional<String> ownAddress, HostId self) {
        return new DiscoveryController(seeds, ownAddress, self);
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case PeerEvent.PeerConnected connected -> {
                if (holdsControlLog) {
                    effects.add(
                            new PeerEffect.SendToPeer(connected.peer(), new PeerMessage.KnownPeers(knownAddresses)));
                }
            }
            case PeerEvent.PeerMessageReceived received -> {
                if (received.message() instanceof PeerMessage.KnownPeers message) {
                    addAddresses(message.addresses(), board, effects);
                }
            }
            case PeerEvent ignored -> {}
            case TimerEvent ignored -> {}
            case ForwardEvent ignored -> {}
            case DutyEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void addAddresses(Map<HostId, String> addresses, Board board, Effects effects) {
        Map<HostId, String> added = new HashMap<>(addresses);
        added.keySet().removeAll(knownAddresses.keySet());
        if (added.isEmpty()) {
            return;
        }
        knownAddresses.putAll(added);
        added.forEach((host, address) -> {
            effects.log("peer_discovered", "peer", host, "address", address);
            effects.add(new PeerEffect.DialPeer(host, address));
        });
        if (holdsControlLog) {
            LinkedPeers.broadcast(new PeerMessage.KnownPeers(knownAddresses), board, effects);
        }
    }
}
