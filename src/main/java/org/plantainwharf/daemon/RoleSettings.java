package org.plantainwharf.daemon;

import java.util.List;
import java.util.Map;

import org.plantainwharf.forward.ForwardLimits;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.settings.Settings;

/**
 * Settings of a daemon whose peers are discovered. Immutable.
 *
 * @param settings the product's settings; its list of hosts holds the seeds
 * @param seeds addresses for links of the daemons told at the start
 * @param linkPort port for links, the same on all hosts
 * @param initialVoters the first voters, when the whole system starts for the first time; empty later
 * @param usageWindowMillis length of a usage window
 * @param usageReportDeadlineMillis time after a window's end at which its report is late
 * @param forwardLimits what this daemon may spend on repeats and beyond account limits
 * @param metricsAddress where the daemon serves its metrics
 * @param readyAddress where the balancer asks whether an entry daemon is ready
 * @param readyPath path of that question
 */
public record RoleSettings(
        Settings settings,
        Map<HostId, String> seeds,
        int linkPort,
        List<HostId> initialVoters,
        long usageWindowMillis,
        long usageReportDeadlineMillis,
        ForwardLimits forwardLimits,
        String metricsAddress,
        String readyAddress,
        String readyPath) {
    /** Copies the collections. */
    public RoleSettings {
        seeds = Map.copyOf(seeds);
        initialVoters = List.copyOf(initialVoters);
    }

    /** Returns the address for links of a control daemon, whose host id is its IP number and its port for servers. */
    public String linkAddress(HostId host) {
        return host.value().substring(0, host.value().lastIndexOf(':')) + ":" + linkPort;
    }
}
