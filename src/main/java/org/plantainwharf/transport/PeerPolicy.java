package org.plantainwharf.transport;

import java.util.Map;

import org.plantainwharf.identity.HostId;

/** Determines which daemons this daemon links with. Immutable. */
public sealed interface PeerPolicy {
    /** Links with the hosts of the settings, as the link plan assigns them. Other hosts are refused. */
    record Configured() implements PeerPolicy {}

    /**
     * Accepts a link from any daemon that sends a valid hello. The seeds are dialled from the start, other daemons once
     * they are discovered.
     *
     * @param seeds peer addresses by host
     */
    record Discovered(Map<HostId, String> seeds) implements PeerPolicy {
        /** Copies the map. */
        public Discovered {
            seeds = Map.copyOf(seeds);
        }
    }
}
