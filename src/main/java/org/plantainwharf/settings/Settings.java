package org.plantainwharf.settings;

import java.util.List;
import java.util.Optional;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;

/**
 * Validated settings of one daemon. Immutable.
 *
 * @param host this host
 * @param zone its availability zone
 * @param hostClass its host class
 * @param callerAddress where callers connect, as IP address and port; port 0 lets the operating system choose
 * @param operatorAddress where operators and backend servers connect
 * @param peerAddress where other daemons connect
 * @param dataFolder folder for files, absent on a host without a disk
 * @param hosts every configured daemon, this one included
 * @param recordGroups number of replicated groups that store durable records
 * @param timings periods and time limits
 * @param bounds sizes and counts
 */
public record Settings(
        HostId host,
        AvailabilityZone zone,
        HostClass hostClass,
        String callerAddress,
        String operatorAddress,
        String peerAddress,
        Optional<String> dataFolder,
        List<HostEntry> hosts,
        int recordGroups,
        Timings timings,
        Bounds bounds) {
    /** Copies the hosts. */
    public Settings {
        hosts = List.copyOf(hosts);
    }

    /**
     * One configured daemon.
     *
     * @param voter whether it has a disk and is a founding voter of the replicated logs
     */
    public record HostEntry(HostId host, AvailabilityZone zone, String peerAddress, boolean voter) {}

    /**
     * Periods and time limits, in milliseconds.
     *
     * @param drainNoticeMillis time from the failing health check of a draining daemon to the first refused call
     * @param drainLimitMillis time after the notice at which a drain ends the calls that still run with an error
     * @param serverLeaseMillis time for which an announcement of a backend server is valid
     * @param linkSilenceMillis time without a message after which a link between daemons is closed
     * @param urgentSilenceMillis longest time without data on a stream of urgent work
     * @param longSilenceMillis longest time without data on a stream of long work
     */
    public record Timings(
            long drainNoticeMillis,
            long drainLimitMillis,
            long serverLeaseMillis,
            long linkSilenceMillis,
            long urgentSilenceMillis,
            long longSilenceMillis) {
        /** Returns the values used when the settings give none. */
        public static Timings defaults() {
            return new Timings(2_000, 600_000, 3_000, 1_500, 2_000, 10_000);
        }
    }

    /**
     * Sizes and counts.
     *
     * @param maximumBodyBytes largest body of a request
     * @param maximumHeaderBytes largest headers of a request
     * @param maximumAnswerBytes largest answer that is buffered or stored
     * @param eventQueueCapacity events that may wait for the control thread
     * @param accountQueueCapacity requests of one account that may wait in one rank
     * @param rankQueueCapacity requests that may wait in one rank
     * @param snapshotEntries log entries between snapshots of a replicated log
     */
    public record Bounds(
            int maximumBodyBytes,
            int maximumHeaderBytes,
            int maximumAnswerBytes,
            int eventQueueCapacity,
            int accountQueueCapacity,
            int rankQueueCapacity,
            int snapshotEntries) {
        /** Returns the values used when the settings give none. */
        public static Bounds defaults() {
            return new Bounds(1 << 20, 16 << 10, 1 << 20, 10_000, 64, 256, 256);
        }
    }
}
