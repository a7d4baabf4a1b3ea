package org.plantainwharf.consensus;

import java.util.concurrent.TimeUnit;

/**
 * Periods, in nanoseconds, and sizes of the protocol. Immutable.
 *
 * @param heartbeatNanos time between heartbeat rounds of a leader
 * @param leaseNanos validity of a lease from the send time of its round
 * @param voteRefusalNanos time after hearing a leader during which votes are refused; must exceed the lease by the drift of
 *     two clocks
 * @param electionMinimumNanos shortest time without a leader before an election
 * @param electionMaximumNanos longest such time
 * @param retainedEntries entries kept before a snapshot, so that a follower that lags a little needs no snapshot
 * @param messageBytes estimated bytes of entries or records in one message; a frame may have 4 MiB
 * @param streamRenewalNanos period at which a learner repeats its request
 * @param sourceTimeoutNanos silence after which a learner changes its source
 * @param subscriptionNanos time after a learner's request during which new entries are sent to it unasked, 0 to make
 *     learners poll
 */
public record ReplicaOptions(
        long heartbeatNanos,
        long leaseNanos,
        long voteRefusalNanos,
        long electionMinimumNanos,
        long electionMaximumNanos,
        int retainedEntries,
        int messageBytes,
        long streamRenewalNanos,
        long sourceTimeoutNanos,
        long subscriptionNanos) {
    /** Returns the values of the design. */
    public static ReplicaOptions defaults() {
        return new ReplicaOptions(
                TimeUnit.MILLISECONDS.toNanos(200),
                TimeUnit.MILLISECONDS.toNanos(900),
                TimeUnit.MILLISECONDS.toNanos(1_000),
                TimeUnit.MILLISECONDS.toNanos(1_000),
                TimeUnit.MILLISECONDS.toNanos(2_000),
                64,
                1 << 20,
                TimeUnit.MILLISECONDS.toNanos(1_000),
                TimeUnit.MILLISECONDS.toNanos(2_500),
                TimeUnit.MILLISECONDS.toNanos(2_500));
    }

    /**
     * Returns the values for groups whose hosts are discovered. A document must be in force within 2 s on a host that
     * reaches a majority, so a learner leaves a source that went silent after 1 s and asks it more often until then.
     * After the loss of all processes no request is served before a leader is elected, so leases and elections are
     * shorter than the design's; a lease still covers four heartbeats.
     */
    public static ReplicaOptions forDiscoveredHosts() {
        ReplicaOptions defaults = defaults();
        return new ReplicaOptions(
                TimeUnit.MILLISECONDS.toNanos(150),
                TimeUnit.MILLISECONDS.toNanos(600),
                TimeUnit.MILLISECONDS.toNanos(700),
                TimeUnit.MILLISECONDS.toNanos(700),
                TimeUnit.MILLISECONDS.toNanos(1_200),
                defaults.retainedEntries,
                defaults.messageBytes,
                TimeUnit.MILLISECONDS.toNanos(400),
                TimeUnit.MILLISECONDS.toNanos(1_000),
                defaults.subscriptionNanos);
    }

    /** Returns these options with another way to feed learners, to compare ways. */
    public ReplicaOptions withLearners(long renewalNanos, long subscriptionPeriodNanos) {
        return new ReplicaOptions(
                heartbeatNanos,
                leaseNanos,
                voteRefusalNanos,
                electionMinimumNanos,
                electionMaximumNanos,
                retainedEntries,
                messageBytes,
                renewalNanos,
                sourceTimeoutNanos,
                subscriptionPeriodNanos);
    }
}
