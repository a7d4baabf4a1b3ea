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
    private final Map<ServerId, ServerTrack> tracks = new HashMap<>();
    private final Map<ServerId, Probe> probes = new LinkedHashMap<>();
    private final Map<HostId, Long> relayedChanges = new HashMap<>();
    private long lastChange;
    private long lastToken;
    private long nextRelayNanos;

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
        tracks.remove(server);
        probes.remove(server);
    }

    /** Returns what the controller keeps of a server, made on first use. */
    ServerTrack track(ServerId server, long nowNanos) {
        return tracks.computeIfAbsent(server, absent -> ServerTrack.create(nowNanos));
    }

    /** Returns the probes of silent servers. */
    Map<ServerId, Probe> probes() {
        return probes;
    }

    /** Returns the number for a change learned at first hand. */
    long nextChange() {
        lastChange++;
        return lastChange;
    }

    long lastChange() {
        return lastChange;
    }

    /** Returns the newest change relayed over the present link to a host. */
    long relayedChange(HostId host) {
        return relayedChanges.getOrDefault(host, 0L);
    }

    void setRelayedChange(HostId host, long change) {
        relayedChanges.put(host, change);
    }

    /** Returns the newest token issued, 0 before the first. */
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
