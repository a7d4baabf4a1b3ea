package org.plantainwharf.settings;

import java.util.List;
import java.util.Optional;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;

/**
 * Settings of one daemon, already checked. Immutable.
 *
 * @param host this host
 * @param zone its availability zone
 * @param hostClass its host class
 * @param callerAddress where callers connect, as IP number and port; port 0 lets the system choose
 * @param operatorAddress where operators and backend servers connect
 * @param peerAddress where other daemons connect
 * @param dataFolder folder for files, absent on a host without a disk
 * @param hosts every configured daemon, this one included
 * @param recordGroups number of groups that hold durable records
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
     * @param drainNoticeMillis time between the failing health check and the first refusal
     * @param drainLimitMillis time after which a planned stop ends the calls that still run with an error
     * @param serverLeaseMillis validity of a backend server's announcement
     * @param linkSilenceMillis silence after which a link between daemons is closed
     * @param urgentSilenceMillis longest silence of a stream of urgent work
     * @param longSilenceMillis longest silence of a stream of long work
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
     * @param maximumAnswerBytes largest answer that is collected or stored
     * @param eventQueueCapacity events that may wait for the control thread
     * @param accountQueueCapacity requests of one account that may wait in one rank
     * @param rankQueueCapacity requests that may wait in one rank
     * @param snapshotEntries entries between snapshots of a replicated log
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
