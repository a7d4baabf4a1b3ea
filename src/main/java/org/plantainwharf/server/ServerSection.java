package org.plantainwharf.server;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;

/** Backend servers known to this host. Written by the controllers of this package. Owned by the control thread. */
public final class ServerSection {
    private final Map<ServerId, ServerEntry> servers = new LinkedHashMap<>();
    private final Map<ServerId, ServerTracker> trackers = new HashMap<>();
    private final Map<ServerId, Probe> probes = new LinkedHashMap<>();
    private final Map<HostId, Long> lastRelayedChanges = new HashMap<>();
    private long lastChangeNumber;
    private long lastToken;
    private long nextRelayNanos;

    private ServerSection() {}

    /** Returns an empty section. */
    public static ServerSection create() {
        return new ServerSection();
    }

    /** Returns a server, or empty if it is unknown or was removed. */
    public Optional<ServerEntry> server(ServerId server) {
        return Optional.ofNullable(servers.get(server));
    }

    /** Returns all servers, including those without a valid lease. */
    public Collection<ServerEntry> servers() {
        return servers.values();
    }

    /** Adds a server. For the server controller. */
    public void put(ServerEntry entry) {
        servers.put(entry.server(), entry);
    }

    /** Removes a server with its tracker and probe. For the server controller. */
    public void remove(ServerId server) {
        servers.remove(server);
        trackers.remove(server);
        probes.remove(server);
    }

    /** Returns the tracker of a server, created on first use. */
    ServerTracker tracker(ServerId server, long nowNanos) {
        return trackers.computeIfAbsent(server, absent -> ServerTracker.create(nowNanos));
    }

    /** Returns the probe schedules of silent servers. */
    Map<ServerId, Probe> probes() {
        return probes;
    }

    /** Allocates the number of a change that this host learned directly. */
    long nextChangeNumber() {
        lastChangeNumber++;
        return lastChangeNumber;
    }

    long lastChangeNumber() {
        return lastChangeNumber;
    }

    /** Returns the number of the newest change relayed over the present link to a host, 0 for none. */
    long lastRelayedChange(HostId host) {
        return lastRelayedChanges.getOrDefault(host, 0L);
    }

    void setLastRelayedChange(HostId host, long change) {
        lastRelayedChanges.put(host, change);
    }

    /** Returns the last token issued, 0 before the first. */
    long lastToken() {
        return lastToken;
    }

    void setLastToken(long value) {
        lastToken = value;
    }

    long nextRelayNanos() {
        return nextRelayNanos;
    }

    void setNextRelayNanos(long value) {
        nextRelayNanos = value;
    }
}
