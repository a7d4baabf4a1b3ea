package org.plantainwharf.consensus;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts and sizes of the protocol; times are in nanoseconds. Immutable.
 *
 * @param heartbeatNanos interval between a leader's heartbeat rounds
 * @param leaseNanos validity of a lease, measured from the send time of its heartbeat round
 * @param voteRefusalNanos time after a leader's last message during which votes are refused; must exceed the lease by
 *     the drift between two clocks
 * @param electionMinimumNanos lower bound of the randomized election timeout
 * @param electionMaximumNanos upper bound of the randomized election timeout
 * @param logBounds bounds of the log in memory and on disk
 * @param messageBytes limit of the estimated bytes of entries or records in one message; a frame is limited to 4 MiB
 * @param streamRenewalNanos interval at which a learner, or a replica that is not in the voter configuration, renews
 *     its stream request
 * @param sourceTimeoutNanos used in three places: a learner switches to another source after this time without a
 *     message from its source; a follower stops serving learners after this time without a message from the leader; a
 *     leader stops replicating to a learner with a disk after twice this time without a message from it
 * @param subscriptionNanos time after a learner's request during which new entries are pushed to it; 0 makes learners
 *     poll
 */
public record ReplicaOptions(
        long heartbeatNanos,
        long leaseNanos,
        long voteRefusalNanos,
        long electionMinimumNanos,
        long electionMaximumNanos,
        LogBounds logBounds,
        int messageBytes,
        long streamRenewalNanos,
        long sourceTimeoutNanos,
        long subscriptionNanos) {
    /** Returns the values for groups of configured hosts. */
    public static ReplicaOptions defaults() {
        return new ReplicaOptions(
                TimeUnit.MILLISECONDS.toNanos(200),
                TimeUnit.MILLISECONDS.toNanos(900),
                TimeUnit.MILLISECONDS.toNanos(1_000),
                TimeUnit.MILLISECONDS.toNanos(1_000),
                TimeUnit.MILLISECONDS.toNanos(2_000),
                LogBounds.defaults(),
                1 << 20,
                TimeUnit.MILLISECONDS.toNanos(1_000),
                TimeUnit.MILLISECONDS.toNanos(2_500),
                TimeUnit.MILLISECONDS.toNanos(2_500));
    }

    /**
     * Returns the values for groups whose hosts are discovered. A new service document (routes and accounts) must be in
     * force within 2 s on a host that reaches a majority, so a learner switches away from an unresponsive source after
     * 1 s and renews its requests more often. After the loss of all processes no request is served before a leader is
     * elected, so leases and election timeouts are shorter than the defaults; a lease still covers four heartbeats.
     */
    public static ReplicaOptions forDiscoveredHosts() {
        ReplicaOptions defaults = defaults();
        return new ReplicaOptions(
                TimeUnit.MILLISECONDS.toNanos(150),
                TimeUnit.MILLISECONDS.toNanos(600),
                TimeUnit.MILLISECONDS.toNanos(700),
                TimeUnit.MILLISECONDS.toNanos(700),
                TimeUnit.MILLISECONDS.toNanos(1_200),
                defaults.logBounds,
                defaults.messageBytes,
                TimeUnit.MILLISECONDS.toNanos(400),
                TimeUnit.MILLISECONDS.toNanos(1_000),
                defaults.subscriptionNanos);
    }

    /**
     * Returns a copy with other stream settings for learners, used to compare streaming with polling.
     *
     * @param renewalNanos interval at which a learner renews its stream request
     * @param subscriptionPeriodNanos time after a request during which new entries are pushed, 0 for polling
     */
    public ReplicaOptions withLearnerStream(long renewalNanos, long subscriptionPeriodNanos) {
        return new ReplicaOptions(
                heartbeatNanos,
                leaseNanos,
                voteRefusalNanos,
                electionMinimumNanos,
                electionMaximumNanos,
                logBounds,
                messageBytes,
                renewalNanos,
                sourceTimeoutNanos,
                subscriptionPeriodNanos);
    }
}
