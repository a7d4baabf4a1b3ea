package org.plantainwharf.consensus;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.VoterId;

/**
 * A member of one replicated log that stores nothing on disk. It never votes and acknowledges no entries. A source is a
 * host that streams committed entries to learners: the leader or a follower in contact with it. The learner requests
 * the entries after the last one that it applied from one source at a time, ignores entries that are not newer, and
 * switches to another source when the current one stops answering, or has no entries although it knows that more were
 * committed. A source whose large message is on the way counts as answering. A learner with a disk is a {@link Replica} that is not in the voter configuration. Deterministic; not
 * thread-safe.
 */
public final class Learner implements GroupMember {
    private final int group;
    private final VoterId self;
    private final LogHosts hosts;
    private final boolean statusOnly;
    private final ReplicaOptions options;
    private final SnapshotReceiver receiver = SnapshotReceiver.create();
    private final long createdNanos;
    private int sourceIndex;
    private long term;
    private long appliedIndex;
    private long commitIndex;
    private boolean caughtUp;
    private LogCopy copy = new LogCopy.Unconfirmed();
    private boolean sourceResponsive;
    private long lastContactNanos;
    private long lastRequestNanos;

    private Learner(
            int group, VoterId self, LogHosts hosts, boolean statusOnly, ReplicaOptions options, long nowNanos) {
        this.group = group;
        this.self = self;
        this.hosts = hosts;
        this.statusOnly = statusOnly;
        this.options = options;
        this.createdNanos = nowNanos;
        this.lastContactNanos = nowNanos;
        this.lastRequestNanos = nowNanos - options.streamRenewalNanos();
        // The hash of the name distributes learners over the sources.
        this.sourceIndex = Math.floorMod(
                self.host().value().hashCode(), Math.max(1, hosts.list().size()));
    }

    /** Returns a learner that applies committed entries. */
    public static Learner create(int group, VoterId self, List<HostId> sources, ReplicaOptions options, long nowNanos) {
        return create(group, self, LogHosts.configured(sources), options, nowNanos);
    }

    /** Returns a learner that applies committed entries. Hosts may be added to {@code hosts} later. */
    static Learner create(int group, VoterId self, LogHosts hosts, ReplicaOptions options, long nowNanos) {
        return new Learner(group, self, hosts, false, options, nowNanos);
    }

    /** Returns a learner that tracks the group's leader and receives no entries. */
    public static Learner createStatusOnly(
            int group, VoterId self, List<HostId> sources, ReplicaOptions options, long nowNanos) {
        return new Learner(group, self, LogHosts.configured(sources), true, options, nowNanos);
    }

    @Override
    public ReplicaOutput step(ReplicaInput input, long nowNanos) {
        ReplicaOutput output = ReplicaOutput.create();
        switch (input) {
            case ReplicaInput.Received received -> receive(received, nowNanos, output);
            case ReplicaInput.Ticked ticked -> tick(nowNanos, output);
            case ReplicaInput.ContentProgressed progressed -> {
                if (sourceIndex < hosts.list().size()
                        && progressed.host().equals(hosts.list().get(sourceIndex))) {
                    lastContactNanos = nowNanos;
                }
            }
            case ReplicaInput.Proposed proposed -> output.refuse(ProposalRefusal.NOT_LEADING);
            case ReplicaInput.WriteSynced synced -> {}
            case ReplicaInput.WriteFailed failed -> {}
            case ReplicaInput.SnapshotTaken taken -> {}
            case ReplicaInput.SnapshotSynced synced -> {}
            case ReplicaInput.Resigned resigned -> {}
        }
        return output;
    }

    @Override
    public GroupStatus status(long nowNanos) {
        Optional<HostId> leader =
                statusOnly && sourceResponsive ? Optional.of(hosts.list().get(sourceIndex)) : Optional.empty();
        return new GroupStatus(
                group,
                leader,
                false,
                term,
                knownCommitIndex(),
                appliedIndex,
                Long.MIN_VALUE,
                sourceResponsive ? lastContactNanos : Long.MIN_VALUE,
                false);
    }

    /**
     * Returns the index that the source named last. A snapshot does not tell what was committed after it, so that more
     * than was applied is assumed until a source says. A source may also have named entries that were never committed
     * and name fewer later.
     */
    private long knownCommitIndex() {
        if (statusOnly) {
            return commitIndex;
        }
        return caughtUp ? appliedIndex : Math.max(commitIndex, appliedIndex + 1);
    }

    @Override
    public LogCopy copy(long nowNanos) {
        return copy;
    }

    private void receive(ReplicaInput.Received received, long nowNanos, ReplicaOutput output) {
        switch (received.message()) {
            case ReplicaMessage.AppendRequest request -> {
                boolean behind = !statusOnly && appliedIndex < request.commitIndex();
                if (!behind || !request.entries().isEmpty()) {
                    recordSourceContact(request, nowNanos);
                }
                commitIndex = Math.max(commitIndex, request.commitIndex());
                if (!statusOnly) {
                    apply(request, nowNanos, output);
                    caughtUp = appliedIndex >= request.commitIndex();
                    updateCopy(request, received.sentAfterNanos());
                }
            }
            case ReplicaMessage.SnapshotChunk chunk -> {
                recordSourceContact(chunk, nowNanos);
                receiveChunk(chunk, output);
            }
            case ReplicaMessage.PreVoteRequest request -> {}
            case ReplicaMessage.PreVoteAnswer answer -> {}
            case ReplicaMessage.VoteRequest request -> {}
            case ReplicaMessage.VoteAnswer answer -> {}
            case ReplicaMessage.AppendAnswer answer -> {}
            case ReplicaMessage.SnapshotAnswer answer -> {}
            case ReplicaMessage.LeadershipTransfer transfer -> {}
            case ReplicaMessage.StreamRequest request -> {}
        }
    }

    /**
     * Records what a message says about this copy. Messages to this process were sent after its start. Large entries
     * arrive after messages that were sent later, so a message with some does not tell when it was sent.
     */
    private void updateCopy(ReplicaMessage.AppendRequest request, OptionalLong sentAfterNanos) {
        if (caughtUp) {
            if (!MessageSizes.isLarge(request)) {
                long timeNanos = sentAfterNanos.orElse(createdNanos);
                copy = new LogCopy.CompleteUntil(
                        copy instanceof LogCopy.CompleteUntil earlier && earlier.timeNanos() - timeNanos > 0
                                ? earlier.timeNanos()
                                : timeNanos);
            }
        } else if (namesCommittedEntry(request)) {
            copy = new LogCopy.Incomplete();
        }
    }

    /**
     * Returns whether an entry that this learner lacks is committed for certain. Until an entry of the present term is
     * committed, a source names one index too many, because it does not know what earlier terms committed.
     */
    private boolean namesCommittedEntry(ReplicaMessage.AppendRequest request) {
        long lastTerm = request.entries().isEmpty()
                ? request.previousTerm()
                : request.entries().getLast().term();
        return request.previousIndex() > appliedIndex || lastTerm == request.term();
    }

    private void recordSourceContact(ReplicaMessage message, long nowNanos) {
        term = Math.max(term, message.term());
        int sender = hosts.list().indexOf(message.sender().host());
        if (sender >= 0) {
            sourceIndex = sender;
            sourceResponsive = true;
            lastContactNanos = nowNanos;
        }
    }

    private void apply(ReplicaMessage.AppendRequest request, long nowNanos, ReplicaOutput output) {
        if (request.previousIndex() > appliedIndex) {
            output.count("consensus.stream_gaps");
            sendStreamRequest(hosts.list().get(sourceIndex), nowNanos, output);
            return;
        }
        boolean confirms = false;
        for (ReplicaEntry entry : request.entries()) {
            if (entry.index() == appliedIndex + 1) {
                appliedIndex++;
                output.addCommitted(entry);
                // The source sends nothing after a large entry before it is confirmed.
                confirms |= appliedIndex < request.commitIndex() || MessageSizes.isLarge(entry.command());
            }
        }
        if (confirms) {
            sendStreamRequest(hosts.list().get(sourceIndex), nowNanos, output);
        }
    }

    private void receiveChunk(ReplicaMessage.SnapshotChunk chunk, ReplicaOutput output) {
        if (statusOnly || chunk.lastIndex() <= appliedIndex) {
            return;
        }
        copy = new LogCopy.Incomplete();
        Optional<ReplicaSnapshot> completed = receiver.receive(chunk);
        if (completed.isPresent()) {
            appliedIndex = chunk.lastIndex();
            caughtUp = false;
            commitIndex = Math.max(commitIndex, appliedIndex);
            output.install(completed.get());
            output.send(chunk.sender().host(), new ReplicaMessage.StreamRequest(term, self, appliedIndex));
        } else {
            // Round 0: the stream belongs to no heartbeat round.
            output.send(
                    chunk.sender().host(),
                    new ReplicaMessage.SnapshotAnswer(term, self, chunk.lastIndex(), receiver.receivedRecords(), 0));
        }
    }

    private void tick(long nowNanos, ReplicaOutput output) {
        if (hosts.list().isEmpty() || nowNanos - lastRequestNanos < options.streamRenewalNanos()) {
            return;
        }
        if (nowNanos - lastContactNanos > options.sourceTimeoutNanos()) {
            output.count("consensus.stream_source_changes");
            sourceResponsive = false;
            lastContactNanos = nowNanos;
            sourceIndex = (sourceIndex + 1) % hosts.list().size();
        }
        if (statusOnly && !sourceResponsive) {
            hosts.list().forEach(host -> sendStreamRequest(host, nowNanos, output));
        } else {
            sendStreamRequest(hosts.list().get(sourceIndex), nowNanos, output);
        }
    }

    private void sendStreamRequest(HostId host, long nowNanos, ReplicaOutput output) {
        lastRequestNanos = nowNanos;
        long after = statusOnly ? StreamSource.STATUS_ONLY : appliedIndex;
        output.send(host, new ReplicaMessage.StreamRequest(term, self, after));
    }
}
