package org.plantainwharf.transport;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.plantainwharf.codec.Hello;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.LinkPlan;
import org.plantainwharf.settings.Settings;

/** Decides whether the host that greets on a link is one this host expects there. Immutable and thread-safe. */
final class HelloValidator {
    private final HostId self;
    private final Map<HostId, Settings.HostEntry> hosts;
    private final Optional<HostId> expectedPeer;
    private final boolean acceptsAnyHost;

    private HelloValidator(
            HostId self, Map<HostId, Settings.HostEntry> hosts, Optional<HostId> expectedPeer, boolean acceptsAnyHost) {
        this.self = self;
        this.hosts = hosts;
        this.expectedPeer = expectedPeer;
        this.acceptsAnyHost = acceptsAnyHost;
    }

    /** Returns the check for links that any daemon may open. */
    static HelloValidator acceptingAny(HostId self) {
        return new HelloValidator(self, Map.of(), Optional.empty(), true);
    }

    /** Returns the check for a link that this host opens to a daemon that was discovered. */
    static HelloValidator diallingDiscovered(HostId self, HostId peer) {
        return new HelloValidator(self, Map.of(), Optional.of(peer), true);
    }

    /** Returns the check for links that others open. */
    static HelloValidator accepting(Settings settings) {
        return new HelloValidator(settings.host(), byHost(settings), Optional.empty(), false);
    }

    /** Returns the check for a link that this host opens to another. */
    static HelloValidator dialling(Settings settings, HostId peer) {
        return new HelloValidator(settings.host(), byHost(settings), Optional.of(peer), false);
    }

    private static Map<HostId, Settings.HostEntry> byHost(Settings settings) {
        return settings.hosts().stream().collect(Collectors.toMap(Settings.HostEntry::host, Function.identity()));
    }

    /** Returns what is wrong with a greeting, or empty text. */
    String rejectionReason(Hello hello) {
        Settings.HostEntry entry = hosts.get(hello.host());
        if (hello.protocolVersion() != Hello.CURRENT_VERSION) {
            return "protocol version " + hello.protocolVersion() + " is not spoken here";
        }
        if (acceptsAnyHost) {
            return discoveredPeerRejectionReason(hello);
        }
        if (entry == null) {
            return "host is not configured";
        }
        if (!entry.zone().equals(hello.zone())) {
            return "host is configured in zone " + entry.zone() + ", not in " + hello.zone();
        }
        if (expectedPeer.isPresent() && !expectedPeer.get().equals(hello.host())) {
            return "address belongs to host " + expectedPeer.get();
        }
        if (expectedPeer.isEmpty() && !LinkPlan.dials(hello.host(), self)) {
            return "the other end of this pair opens the link";
        }
        return "";
    }

    private String discoveredPeerRejectionReason(Hello hello) {
        if (hello.host().equals(self)) {
            return "link leads back to this host";
        }
        return expectedPeer.isPresent() && !expectedPeer.get().equals(hello.host())
                ? "address belongs to host " + expectedPeer.get()
                : "";
    }
}
