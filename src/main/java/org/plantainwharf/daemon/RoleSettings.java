package org.plantainwharf.daemon;

import java.util.List;
import java.util.Map;

import org.plantainwharf.forward.ForwardLimits;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.rollout.RolloutBounds;
import org.plantainwharf.settings.Settings;

/**
 * Settings of a daemon that discovers its peers. Immutable.
 *
 * @param settings settings that every daemon has; their list of hosts holds the seeds
 * @param seeds link addresses of the daemons that are known at the start
 * @param linkPort port for links between daemons, the same on all hosts
 * @param initialVoters the voters when the whole system starts for the first time; empty at later starts
 * @param usageWindowMillis length of a usage window
 * @param usageReportDeadlineMillis time after the end of a usage window at which its report is late
 * @param dutyLeaseMillis time within which duty holders must not act in turn
 * @param forwardLimits how many retries this daemon may send, and how far account limits may be exceeded
 * @param rolloutBounds bounds of the requests that a version under watch gets
 * @param sharesRoom whether daemons share the room of services among callers
 * @param metricsAddress where the daemon serves its metrics
 * @param readyAddress where the load balancer checks whether an entry daemon is ready; empty on a control daemon
 * @param readyPath path of the readiness check
 */
public record RoleSettings(
        Settings settings,
        Map<HostId, String> seeds,
        int linkPort,
        List<HostId> initialVoters,
        long usageWindowMillis,
        long usageReportDeadlineMillis,
        long dutyLeaseMillis,
        ForwardLimits forwardLimits,
        RolloutBounds rolloutBounds,
        boolean sharesRoom,
        String metricsAddress,
        String readyAddress,
        String readyPath) {
    /** Copies the collections. */
    public RoleSettings {
        seeds = Map.copyOf(seeds);
        initialVoters = List.copyOf(initialVoters);
    }

    /** Returns the link address of a control daemon, whose host id is its IP address and its port for servers. */
    public String linkAddress(HostId host) {
        return host.value().substring(0, host.value().lastIndexOf(':')) + ":" + linkPort;
    }
}
