package org.plantainwharf.server;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.ServerId;

/** Backend servers known to this host. Written by the controllers of this package. Owned by the control thread. */
public final class ServerSection {
    private final Map<ServerId, ServerEntry> servers = new LinkedHashMap<>();

    private ServerSection() {}

    /** Returns an empty section. */
    public static ServerSection create() {
        return new ServerSection();
    }

    /** Returns a server. */
    public Optional<ServerEntry> server(ServerId server) {
        return Optional.ofNullable(servers.get(server));
    }

    /** Returns all servers, also those without a lease. */
    public Collection<ServerEntry> servers() {
        return servers.values();
    }

    /** Adds a server. For the server controller. */
    public void put(ServerEntry entry) {
        servers.put(entry.server(), entry);
    }

    /** Forgets a server. For the server controller. */
    public void remove(ServerId server) {
        servers.remove(server);
    }
}
