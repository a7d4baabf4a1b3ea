package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.plantainwharf.identity.HostId;

/**
 * Hosts that may hold the logs, as far as this host knows. Hosts are only added, so their positions stay. Owned by the
 * control thread.
 */
public final class LogHosts {
    private final List<HostId> hosts;
    private final boolean bootstrapsByVote;

    private LogHosts(Collection<HostId> hosts, boolean bootstrapsByVote) {
        this.hosts = new ArrayList<>(hosts);
        this.bootstrapsByVote = bootstrapsByVote;
    }

    /** Returns configured hosts, which found an empty group together by a vote of all of them. */
    public static LogHosts configured(Collection<HostId> hosts) {
        return new LogHosts(hosts, true);
    }

    /**
     * Returns the hosts known at the start, to which others are added when they are discovered. The log of such a group
     * begins with its first voters on their disks, so nobody founds it by a vote.
     */
    public static LogHosts discovered(Collection<HostId> hosts) {
        return new LogHosts(hosts, false);
    }

    /** Returns the hosts in a fixed order. */
    public List<HostId> list() {
        return hosts;
    }

    /** Says whether an empty group is founded by a vote. */
    boolean bootstrapsByVote() {
        return bootstrapsByVote;
    }

    /** Adds a host. */
    public void add(HostId host) {
        if (!hosts.contains(host)) {
            hosts.add(host);
        }
    }
}
