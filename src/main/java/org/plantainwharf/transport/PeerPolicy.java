package org.plantainwharf.transport;

import java.util.Map;

import org.plantainwharf.identity.HostId;

/** Which daemons this one links with. Immutable. */
public sealed interface PeerPolicy {
    /** Those of the settings, by the link plan; others are refused. */
    record Configured() implements PeerPolicy {}

    /**
     * Any daemon that greets; the first ones to dial are known at the start, others are discovered.
     *
     * @param seeds addresses by host
     */
    record Discovered(Map<HostId, String> seeds) implements PeerPolicy {
        /** Copies the map. */
        public Discovered {
            seeds = Map.copyOf(seeds);
        }
    }
}
