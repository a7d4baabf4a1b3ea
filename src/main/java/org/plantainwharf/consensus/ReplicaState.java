package org.plantainwharf.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.VoterId;

/** State of a replica that is independent of its role. Owned by one replica. */
final class ReplicaState {
    private final int group;
    private final VoterId self;
    private final LogHosts hosts;
    private final ReplicaOptions options;
    private final ReplicaLog log;
    private final WriteQueue writes;
    private final RandomGenerator random;
    private long commitIndex;
    private long announcedCommitIndex;
    /**
     * Index of the last entry passed to the output for the state machine, or the last index of a newer snapshot. The
     * output is applied before the next step, so {@link GroupStatus} reports this as the applied index.
     */
    private long deliveredIndex;

    private long lastLeaderContactNanos;
    private long electionDeadlineNanos;
    private boolean resigned;
    private @Nullable HostId leader;

    private ReplicaState(
            int group,
            VoterId self,
            LogHosts hosts,
            ReplicaOptions options,
            RecoveredGroup recovered,
            RandomGenerator random,
            long nowNanos) {
        this.group = group;
        this.self = self;
        this.hosts = hosts;
        this.options = options;
        this.log = ReplicaLog.recover(recovered);
        this.writes = WriteQueue.recover(group, recovered, log.lastIndex());
        this.random = random;
        this.commitIndex = recovered.snapshot().lastIndex();
        this.deliveredIndex = commitIndex;
        // A restarted voter does not know when it last had contact with a leader whose lease may rely on it, so it
        // refuses votes as if the contact were now.
        this.lastLeaderContactNanos = nowNanos;
        resetElectionTimer(nowNanos);
    }

    static ReplicaState recover(
            int group,
            VoterId self,
            LogHosts hosts,
            ReplicaOptions options,
            RecoveredGroup recovered,
            RandomGenerator random,
            long nowNanos) {
        return new ReplicaState(group, self, hosts, options, recovered, random, nowNanos);
    }

    int group() {
        return group;
    }

    VoterId self() {
        return self;
    }

    List<HostId> bootstrapHosts() {
        return hosts.list();
    }

    /** Returns true if an empty group is bootstrapped by a vote of all bootstrap hosts. */
    boolean bootstrapsByVote() {
        return hosts.bootstrapsByVote();
    }

    /** Returns the only host that may bootstrap the group: the one with the smallest name. */
    HostId bootstrapHost() {
        return bootstrapHosts().stream()
                .min(Comparator.comparing(HostId::value))
                .orElse(self.host());
    }

    ReplicaOptions options() {
        return options;
    }

    ReplicaLog log() {
        return log;
    }

    WriteQueue writes() {
        return writes;
    }

    long term() {
        return writes.term();
    }

    long commitIndex() {
        return commitIndex;
    }

    VoterConfiguration configuration() {
        return log.configuration(commitIndex);
    }

    /** Returns true if this replica currently votes and acknowledges entries. */
    boolean voting() {
        return !writes.failed() && configuration().includes(self);
    }

    boolean resigned() {
        return resigned;
    }

    void resign() {
        resigned = true;
    }

    Optional<HostId> leader() {
        return Optional.ofNullable(leader);
    }

    void clearLeader() {
        leader = null;
    }

    void recordLeaderContact(HostId newLeader, long nowNanos) {
        leader = newLeader;
        lastLeaderContactNanos = nowNanos;
        resetElectionTimer(nowNanos);
    }

    long lastLeaderContactNanos() {
        return lastLeaderContactNanos;
    }

    boolean hadRecentLeaderContact(long nowNanos) {
        return nowNanos - lastLeaderContactNanos < options.voteRefusalNanos();
    }

    void resetElectionTimer(long nowNanos) {
        electionDeadlineNanos =
                nowNanos + random.nextLong(options.electionMinimumNanos(), options.electionMaximumNanos());
    }

    boolean electionTimedOut(long nowNanos) {
        return nowNanos - electionDeadlineNanos >= 0;
    }

    /** Returns true if a log with this last index and term is at least as up to date as this replica's log. */
    boolean isUpToDate(long lastIndex, long lastTerm) {
        return lastTerm > log.lastTerm() || lastTerm == log.lastTerm() && lastIndex >= log.lastIndex();
    }

    void append(ReplicaEntry entry) {
        log.append(entry);
        writes.append(entry);
    }

    void commitUpTo(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    /** Returns the estimated bytes of the entries that are not committed or not synced to this host's disk. */
    long unsettledBytes() {
        return log.bytesAfter(Math.min(commitIndex, writes.syncedIndex()));
    }

    /** Records the commit index that the leader announced, which entries that this host lacks may precede. */
    void recordAnnouncedCommitIndex(long index) {
        announcedCommitIndex = Math.max(announcedCommitIndex, index);
    }

    /**
     * Returns an index that a learner must have applied to hold everything that was committed before now. Until an entry
     * of the current term is committed, the leader itself does not know what earlier terms committed; that entry then
     * comes after everything in the log.
     */
    long catchUpIndex() {
        return log.term(commitIndex) == term()
                ? Math.max(commitIndex, announcedCommitIndex)
                : Math.max(commitIndex + 1, Math.max(log.lastIndex(), announcedCommitIndex));
    }

    /** Replaces the state machine's state and the log by a snapshot of committed entries. */
    void install(ReplicaSnapshot snapshot, ReplicaOutput output) {
        log.install(snapshot);
        writes.install(snapshot.lastIndex());
        commitUpTo(snapshot.lastIndex());
        deliveredIndex = snapshot.lastIndex();
        output.install(snapshot);
    }

    /** Adds the committed entries that were not delivered yet to the output. */
    void deliverCommitted(ReplicaOutput output) {
        while (deliveredIndex < commitIndex) {
            deliveredIndex++;
            output.addCommitted(log.entry(deliveredIndex));
        }
    }

    long deliveredIndex() {
        return deliveredIndex;
    }
}
