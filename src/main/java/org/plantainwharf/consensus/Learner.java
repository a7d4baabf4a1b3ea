package org.plantainwharf.consensus;

import java.util.List;
import java.util.Optional;

import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.VoterId;

/**
 * A member without disk of one replicated log. It never votes and acknowledges nothing. It asks one source at a time
 * for committed entries after the last one it applied, ignores what is not newer, and changes the source when it goes
 * silent. Pure and used by one thread.
 */
public final class Learner implements GroupMember {
    private final int group;
    private final VoterId self;
    private final LogHosts hosts;
    private final boolean statusOnly;
    private final ReplicaOptions options;
    private final SnapshotReceiver receiver = SnapshotReceiver.create();
    private int source;
    private long term;
    private long appliedIndex;
    private long commitIndex;
    private boolean heard;
    private long lastHeardNanos;
    private long lastRequestNanos;

    private Learner(
            int group, VoterId self, LogHosts hosts, boolean statusOnly, ReplicaOptions options, long nowNanos) {
        this.group = group;
        this.self = self;
        this.hosts = hosts;
        this.statusOnly = statusOnly;
        this.options = options;
        this.lastHeardNanos = nowNanos;
        this.lastRequestNanos = nowNanos - options.renewNanos();
        // Learners spread over the sources by name.
        this.source = Math.floorMod(
                self.host().value().hashCode(), Math.max(1, hosts.list().size()));
    }

    /** Returns a learner that applies committed entries. */
    public static Learner create(int group, VoterId self, List<HostId> sources, ReplicaOptions options, long nowNanos) {
        return create(group, self, LogHosts.configured(sources), options, nowNanos);
    }

    /** Returns a learner that applies committed entries; {@code hosts} may grow later. */
    static Learner create(int group, VoterId self, LogHosts hosts, ReplicaOptions options, long nowNanos) {
        return new Learner(group, self, hosts, false, options, nowNanos);
    }

    /** Returns a learner that only keeps track of the group's leader. */
    public static Learner ofStatus(
            int group, VoterId self, List<HostId> sources, ReplicaOptions options, long nowNanos) {
        return new Learner(group, self, LogHosts.configured(sources), true, options, nowNanos);
    }

    @Override
    public ReplicaOutput step(ReplicaInput input, long nowNanos) {
        ReplicaOutput output = ReplicaOutput.create();
        switch (input) {
            case ReplicaInput.Received received -> receive(received.message(), nowNanos, output);
            case ReplicaInput.Ticked ticked -> tick(nowNanos, output);
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
        Optional<HostId> leader = statusOnly && heard ? Optional.of(hosts.list().get(source)) : Optional.empty();
        return new GroupStatus(
                group,
                leader,
                false,
                term,
                commitIndex,
                appliedIndex,
                Long.MIN_VALUE,
                heard ? lastHeardNanos : Long.MIN_VALUE,
                false);
    }

    private void receive(ReplicaMessage message, long nowNanos, ReplicaOutput output) {
        switch (message) {
            case ReplicaMessage.AppendRequest request -> {
                hear(request, nowNanos);
                commitIndex = Math.max(commitIndex, request.commitIndex());
                if (!statusOnly) {
                    apply(request, nowNanos, output);
                }
            }
            case ReplicaMessage.SnapshotChunk chunk -> {
                hear(chunk, nowNanos);
                take(chunk, output);
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

    private void hear(ReplicaMessage message, long nowNanos) {
        term = Math.max(term, message.term());
        int sender = hosts.list().indexOf(message.sender().host());
        if (sender >= 0) {
            source = sender;
            heard = true;
            lastHeardNanos = nowNanos;
        }
    }

    private void apply(ReplicaMessage.AppendRequest request, long nowNanos, ReplicaOutput output) {
        if (request.previousIndex() > appliedIndex) {
            output.count("consensus.stream_gaps");
            request(hosts.list().get(source), nowNanos, output);
            return;
        }
        for (ReplicaEntry entry : request.entries()) {
            if (entry.index() == appliedIndex + 1) {
                appliedIndex++;
                output.commit(entry);
            }
        }
        if (!request.entries().isEmpty() && appliedIndex < request.commitIndex()) {
            request(hosts.list().get(source), nowNanos, output);
        }
    }

    private void take(ReplicaMessage.SnapshotChunk chunk, ReplicaOutput output) {
        if (statusOnly || chunk.lastIndex() <= appliedIndex) {
            return;
        }
        Optional<ReplicaSnapshot> whole = receiver.receive(chunk);
        if (whole.isPresent()) {
            appliedIndex = chunk.lastIndex();
            commitIndex = Math.max(commitIndex, appliedIndex);
            output.install(whole.get());
            output.send(chunk.sender().host(), new ReplicaMessage.StreamRequest(term, self, appliedIndex));
        } else {
            output.send(
                    chunk.sender().host(),
                    new ReplicaMessage.SnapshotAnswer(term, self, chunk.lastIndex(), receiver.received(), 0));
        }
    }

    private void tick(long nowNanos, ReplicaOutput output) {
        if (hosts.list().isEmpty() || nowNanos - lastRequestNanos < options.renewNanos()) {
            return;
        }
        if (nowNanos - lastHeardNanos > options.silenceNanos()) {
            output.count("consensus.stream_source_changes");
            heard = false;
            lastHeardNanos = nowNanos;
            source = (source + 1) % hosts.list().size();
        }
        if (statusOnly && !heard) {
            hosts.list().forEach(host -> request(host, nowNanos, output));
        } else {
            request(hosts.list().get(source), nowNanos, output);
        }
    }

    private void request(HostId host, long nowNanos, ReplicaOutput output) {
        lastRequestNanos = nowNanos;
        long after = statusOnly ? StreamSource.STATUS_ONLY : appliedIndex;
        output.send(host, new ReplicaMessage.StreamRequest(term, self, after));
    }
}
