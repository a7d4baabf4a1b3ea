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
final class HelloCheck {
    private final HostId self;
    private final Map<HostId, Settings.HostEntry> hosts;
    private final Optional<HostId> dialled;

    private HelloCheck(HostId self, Map<HostId, Settings.HostEntry> hosts, Optional<HostId> dialled) {
        this.self = self;
        this.hosts = hosts;
        this.dialled = dialled;
    }

    /** Returns the check for links that others open. */
    static HelloCheck accepting(Settings settings) {
        return new HelloCheck(settings.host(), byHost(settings), Optional.empty());
    }

    /** Returns the check for a link that this host opens to another. */
    static HelloCheck dialling(Settings settings, HostId peer) {
        return new HelloCheck(settings.host(), byHost(settings), Optional.of(peer));
    }

    private static Map<HostId, Settings.HostEntry> byHost(Settings settings) {
        return settings.hosts().stream().collect(Collectors.toMap(Settings.HostEntry::host, Function.identity()));
    }

    /** Returns what is wrong with a greeting, or empty text. */
    String problem(Hello hello) {
        Settings.HostEntry entry = hosts.get(hello.host());
        if (hello.protocolVersion() != Hello.CURRENT_VERSION) {
            return "protocol version " + hello.protocolVersion() + " is not spoken here";
        }
        if (entry == null) {
            return "host is not configured";
        }
        if (!entry.zone().equals(hello.zone())) {
            return "host is configured in zone " + entry.zone() + ", not in " + hello.zone();
        }
        if (dialled.isPresent() && !dialled.get().equals(hello.host())) {
            return "address belongs to host " + dialled.get();
        }
        if (dialled.isEmpty() && !LinkPlan.dials(hello.host(), self)) {
            return "the other end of this pair opens the link";
        }
        return "";
    }
}
