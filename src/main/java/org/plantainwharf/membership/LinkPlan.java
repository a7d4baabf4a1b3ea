package org.plantainwharf.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.settings.Settings;

/**
 * Determines which pairs of daemons keep a link. Up to {@link #FULL_MESH_MAXIMUM} daemons, every pair does. Above that,
 * a pair keeps a link if both are in the same zone, or both are relays of their zones, or one of them is a voter. The
 * rule is symmetric, so both ends agree without communication. Immutable and thread-safe.
 */
public final class LinkPlan {
    /** With 48 daemons, a full mesh costs each daemon 47 links, as many as the mesh of its zone at the planned size. */
    public static final int FULL_MESH_MAXIMUM = 48;

    /** Two, so that one relay of a zone can be restarted while the other connects the zone. */
    static final int RELAYS_PER_ZONE = 2;

    private final Set<HostId> peers;

    private LinkPlan(Set<HostId> peers) {
        this.peers = peers;
    }

    /**
     * Returns the plan of one host.
     *
     * @param hosts all configured daemons
     * @throws IllegalArgumentException if {@code self} is not among them
     */
    public static LinkPlan of(HostId self, List<Settings.HostEntry> hosts) {
        Set<HostId> relays = relays(hosts);
        boolean selfIsVoter = hosts.stream().anyMatch(host -> host.host().equals(self) && host.voter());
        AvailabilityZone zone = hosts.stream()
                .filter(host -> host.host().equals(self))
                .map(Settings.HostEntry::zone)
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("host " + self + " is not configured"));
        return new LinkPlan(hosts.stream()
                .filter(host -> !host.host().equals(self))
                .filter(host -> hosts.size() <= FULL_MESH_MAXIMUM
                        || host.zone().equals(zone)
                        || selfIsVoter
                        || host.voter()
                        || (relays.contains(self) && relays.contains(host.host())))
                .map(Settings.HostEntry::host)
                .collect(Collectors.toUnmodifiableSet()));
    }

    /** Returns the first non-voters of each zone by id, a rule that gives the same result on every daemon. */
    private static Set<HostId> relays(List<Settings.HostEntry> hosts) {
        return hosts.stream().collect(Collectors.groupingBy(Settings.HostEntry::zone)).values().stream()
                .flatMap(zone -> zone.stream()
                        .filter(host -> !host.voter())
                        .sorted(Comparator.comparing(host -> host.host().value()))
                        .limit(RELAYS_PER_ZONE))
                .map(Settings.HostEntry::host)
                .collect(Collectors.toSet());
    }

    /** Returns the daemons with which this host keeps a link. */
    public Set<HostId> peers() {
        return peers;
    }

    /**
     * Returns whether {@code self} opens the link of a pair. Exactly one end does, so that the pair has one link.
     */
    public static boolean opensLink(HostId self, HostId peer) {
        return self.value().compareTo(peer.value()) < 0;
    }
}
