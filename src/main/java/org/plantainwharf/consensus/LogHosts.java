package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.plantainwharf.identity.HostId;

/**
 * The hosts known to this host that may store the replicated logs. Hosts are only added, so the position of a host in
 * the list never changes. Owned by the control thread.
 */
public final class LogHosts {
    private final List<HostId> hosts;
    private final boolean bootstrapsByVote;

    private LogHosts(Collection<HostId> hosts, boolean bootstrapsByVote) {
        this.hosts = new ArrayList<>(hosts);
        this.bootstrapsByVote = bootstrapsByVote;
    }

    /** Returns the configured hosts, which bootstrap an empty group by a unanimous vote. */
    public static LogHosts configured(Collection<HostId> hosts) {
        return new LogHosts(hosts, true);
    }

    /**
     * Returns the hosts known at the start; others are added when they are discovered. The disks of the initial voters
     * already contain the first entry of such a group, so there is no bootstrap vote.
     */
    public static LogHosts discovered(Collection<HostId> hosts) {
        return new LogHosts(hosts, false);
    }

    /** Returns the hosts in the order in which they were added. */
    public List<HostId> list() {
        return hosts;
    }

    /** Returns true if an empty group is bootstrapped by a vote. */
    boolean bootstrapsByVote() {
        return bootstrapsByVote;
    }

    /** Adds a host unless it is already known. */
    public void add(HostId host) {
        if (!hosts.contains(host)) {
            hosts.add(host);
        }
    }
}
