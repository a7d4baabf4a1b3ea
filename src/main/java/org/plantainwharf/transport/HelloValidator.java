package org.plantainwharf.transport;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.plantainwharf.codec.Hello;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.membership.LinkPlan;
import org.plantainwharf.settings.Settings;

/** Decides whether the sender of a hello may use the link on which it arrived. Immutable and thread-safe. */
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

    /** Returns a validator for accepted links that any other daemon may open. */
    static HelloValidator acceptingAny(HostId self) {
        return new HelloValidator(self, Map.of(), Optional.empty(), true);
    }

    /** Returns a validator for a link that this host opens to a discovered daemon. */
    static HelloValidator diallingDiscovered(HostId self, HostId peer) {
        return new HelloValidator(self, Map.of(), Optional.of(peer), true);
    }

    /** Returns a validator for accepted links. Only configured hosts that open their links to this host are valid. */
    static HelloValidator accepting(Settings settings) {
        return new HelloValidator(settings.host(), byHost(settings), Optional.empty(), false);
    }

    /** Returns a validator for a link that this host opens to a configured host. */
    static HelloValidator dialling(Settings settings, HostId peer) {
        return new HelloValidator(settings.host(), byHost(settings), Optional.of(peer), false);
    }

    private static Map<HostId, Settings.HostEntry> byHost(Settings settings) {
        return settings.hosts().stream().collect(Collectors.toMap(Settings.HostEntry::host, Function.identity()));
    }

    /** Returns why a hello is refused, or an empty string if it is valid. */
    String rejectionReason(Hello hello) {
        Settings.HostEntry entry = hosts.get(hello.host());
        if (hello.protocolVersion() != Hello.CURRENT_VERSION) {
            return "protocol version " + hello.protocolVersion() + " is not supported, expected "
                    + Hello.CURRENT_VERSION;
        }
        if (acceptsAnyHost) {
            return discoveredPeerRejectionReason(hello);
        }
        if (entry == null) {
            return "host is not in the settings of this host";
        }
        if (!entry.zone().equals(hello.zone())) {
            return "host is configured in zone " + entry.zone() + ", not in " + hello.zone();
        }
        if (expectedPeer.isPresent() && !expectedPeer.get().equals(hello.host())) {
            return "expected host " + expectedPeer.get() + " at this address";
        }
        if (expectedPeer.isEmpty() && !LinkPlan.opensLink(hello.host(), self)) {
            return "links of this pair are opened by the receiver of this hello";
        }
        return "";
    }

    private String discoveredPeerRejectionReason(Hello hello) {
        if (hello.host().equals(self)) {
            return "link connects this host to itself";
        }
        return expectedPeer.isPresent() && !expectedPeer.get().equals(hello.host())
                ? "expected host " + expectedPeer.get() + " at this address"
                : "";
    }
}
