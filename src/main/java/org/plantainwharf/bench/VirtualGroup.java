package org.plantainwharf.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.consensus.Learner;
import org.plantainwharf.consensus.LogHosts;
import org.plantainwharf.consensus.Replica;
import org.plantainwharf.consensus.ReplicaInput;
import org.plantainwharf.consensus.ReplicaOptions;
import org.plantainwharf.consensus.ReplicaOutput;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.storage.Founding;

/**
 * Members of one group on a virtual clock, with small stand-ins for network and disks. The same seed gives the same
 * run. Not thread-safe.
 */
public final class VirtualGroup {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final List<VirtualNode> nodes = new ArrayList<>();
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atNanos).thenComparingLong(Step::number));
    private final SplittableRandom random;
    private final VirtualNetwork network;
    private final ReplicaOptions options;
    private final Watcher watcher;
    private final List<HostId> founders;
    private final boolean seeded;
    private long syncNanos = TimeUnit.MILLISECONDS.toNanos(2);
    private boolean syncReportedEarly;
    private int snapshotEntries = 256;
    private long nowNanos;
    private long stepNumber;

    /** Sees what members do. */
    public interface Watcher {
        /** A member sends a message. */
        void onSend(VirtualNode from, ReplicaOutput.Outgoing outgoing);

        /** A member hands out a committed entry. */
        void onCommit(VirtualNode node, ReplicaEntry entry);

        /** A member has taken a step. */
        void onStep(VirtualGroup group, VirtualNode node, ReplicaOutput output);

        /** Returns a watcher that ignores everything. */
        static Watcher none() {
            return new Watcher() {
                @Override
                public void onSend(VirtualNode from, ReplicaOutput.Outgoing outgoing) {}

                @Override
                public void onCommit(VirtualNode node, ReplicaEntry entry) {}

                @Override
                public void onStep(VirtualGroup group, VirtualNode node, ReplicaOutput output) {}
            };
        }
    }

    private record Step(long atNanos, long number, Runnable action) {}

    private VirtualGroup(
            long seed,
            int voters,
            int learners,
            int firstVoters,
            double drift,
            ReplicaOptions options,
            Watcher watcher) {
        this.seeded = firstVoters > 0;
        this.random = new SplittableRandom(seed);
        this.network = VirtualNetwork.create(random.split(), TimeUnit.MILLISECONDS.toNanos(1));
        this.options = options;
        this.watcher = watcher;
        for (int index = 0; index < voters + learners; index++) {
            double rate = 1 + drift * (2 * random.nextDouble() - 1);
            HostId host = HostId.of((index < voters ? "voter-" : "learner-") + index);
            nodes.add(VirtualNode.create(host, index + 1, index >= voters, rate));
        }
        this.founders = nodes.stream()
                .filter(node -> !node.learner())
                .map(VirtualNode::host)
                .toList();
        if (seeded) {
            nodes.stream().limit(firstVoters).forEach(node -> found(node, firstVoters));
        }
        nodes.forEach(this::start);
    }

    /** Gives a first voter's disk the content that all of them begin with. */
    private void found(VirtualNode node, int firstVoters) {
        List<VoterId> voters = nodes.stream()
                .limit(firstVoters)
                .map(first -> VoterId.of(first.host(), Founding.INCARNATION))
                .toList();
        node.loseDisk(Founding.INCARNATION);
        node.disk().sync(new StorageEffect.WriteLog(0, 0, 1, "", 0, List.of()));
        node.disk().sync(new StorageEffect.WriteSnapshot(0, 1, 1, voters, List.of(), 2));
    }

    /** Empties a first voter's disk and founds it again, which a restarted host must never do. */
    public void foundAgain(VirtualNode node, int firstVoters) {
        found(node, firstVoters);
    }

    /**
     * Returns a group whose members have all started.
     *
     * @param drift largest relative error of a host's clock
     */
    public static VirtualGroup create(
            long seed, int voters, int learners, double drift, ReplicaOptions options, Watcher watcher) {
        return new VirtualGroup(seed, voters, learners, 0, drift, options, watcher);
    }

    /**
     * Returns a group without a list of its members: some hosts begin as its voters, the others have empty disks.
     *
     * @param hosts hosts with disks
     * @param firstVoters those of them whose disks begin with the group's first content
     */
    public static VirtualGroup createSeeded(
            long seed, int hosts, int firstVoters, double drift, ReplicaOptions options, Watcher watcher) {
        return new VirtualGroup(seed, hosts, 0, firstVoters, drift, options, watcher);
    }

    /** Returns all hosts, voters first. */
    public List<VirtualNode> nodes() {
        return nodes;
    }

    /** Returns the network. */
    public VirtualNetwork network() {
        return network;
    }

    /** Returns the time. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Sets the time that a write takes. */
    public void setSyncNanos(long nanos) {
        syncNanos = nanos;
    }

    /** Sets the number of entries between snapshots. */
    public void setSnapshotEntries(int entries) {
        snapshotEntries = entries;
    }

    /** Makes disks report a write as synced when it is only begun, to show what this breaks. */
    public void reportSyncEarly() {
        syncReportedEarly = true;
    }

    /** Starts or restarts a host from what its disk holds. */
    public void start(VirtualNode node) {
        long local = node.localNanos(nowNanos);
        node.replaceApplied(0);
        if (node.learner()) {
            node.run(Learner.create(0, node.identity(), founders, options, local));
        } else {
            node.replaceApplied(node.disk().content().snapshot().lastIndex());
            LogHosts hosts = seeded ? LogHosts.discovered(founders) : LogHosts.configured(founders);
            node.run(Replica.recover(
                    0, node.identity(), hosts, options, node.disk().content(), random.split(), local));
        }
        int epoch = node.epoch();
        after(random.nextLong(TICK_NANOS), () -> tick(node, epoch));
    }

    /** Stops a host; writes under way are lost. */
    public void crash(VirtualNode node) {
        node.run(null);
    }

    /** Gives a command to a host; returns the index given to it, 0 if it was refused. */
    public long propose(VirtualNode node, Command command) {
        return node.member().isEmpty()
                ? 0
                : step(node, new ReplicaInput.Proposed(command)).appendedIndex();
    }

    /** Gives an input to a running host. */
    public ReplicaOutput step(VirtualNode node, ReplicaInput input) {
        ReplicaOutput output = node.member().orElseThrow().step(input, node.localNanos(nowNanos));
        output.installed().ifPresent(snapshot -> node.replaceApplied(snapshot.lastIndex()));
        for (ReplicaEntry entry : output.committed()) {
            node.apply(entry.index(), entry.command());
            watcher.onCommit(node, entry);
        }
        output.writes().forEach(effect -> write(node, effect));
        output.messages().forEach(outgoing -> send(node, outgoing));
        watcher.onStep(this, node, output);
        if (node.member().orElseThrow() instanceof Replica replica
                && node.appliedIndex() - replica.snapshotIndex() >= snapshotEntries) {
            step(node, new ReplicaInput.SnapshotTaken(List.of()));
        }
        return output;
    }

    /** Returns the host that reports itself as leader with a lease, if any. */
    public Optional<VirtualNode> leader() {
        return nodes.stream()
                .filter(node -> node.status(nowNanos)
                        .filter(status -> status.holdsLease(node.localNanos(nowNanos)))
                        .isPresent())
                .findFirst();
    }

    /** Returns the largest commit index that a running host knows. */
    public long commitIndex() {
        return nodes.stream()
                .flatMap(node -> node.status(nowNanos).stream())
                .mapToLong(GroupStatus::commitIndex)
                .max()
                .orElse(0);
    }

    /** Runs for a time. */
    public void run(long nanos) {
        long end = nowNanos + nanos;
        while (!steps.isEmpty() && steps.peek().atNanos() <= end) {
            runStep();
        }
        nowNanos = end;
    }

    /** Runs until a leader holds a lease, for a limited time. Returns whether there is one. */
    public boolean runUntilLeader(long limitNanos) {
        long end = nowNanos + limitNanos;
        while (leader().isEmpty() && !steps.isEmpty() && steps.peek().atNanos() <= end) {
            runStep();
        }
        return leader().isPresent();
    }

    /** Does something later. */
    public void after(long nanos, Runnable action) {
        steps.add(new Step(nowNanos + nanos, stepNumber++, action));
    }

    private void runStep() {
        Step step = steps.remove();
        nowNanos = step.atNanos();
        step.action().run();
    }

    private void tick(VirtualNode node, int epoch) {
        if (node.epoch() == epoch) {
            step(node, new ReplicaInput.Ticked());
            after((long) (TICK_NANOS / node.clockRate()), () -> tick(node, epoch));
        }
    }

    private void write(VirtualNode node, StorageEffect effect) {
        int epoch = node.epoch();
        boolean fault = node.takeWriteFault();
        long end = node.startWrite(nowNanos, syncNanos);
        ReplicaInput done =
                switch (effect) {
                    case StorageEffect.WriteLog write -> new ReplicaInput.WriteSynced(write.writeNumber());
                    case StorageEffect.WriteSnapshot write -> new ReplicaInput.SnapshotSynced(write.lastIndex());
                };
        if (syncReportedEarly && !fault) {
            after(0, () -> report(node, epoch, done));
        }
        after(end - nowNanos, () -> {
            if (node.epoch() != epoch) {
                return;
            }
            if (!fault) {
                node.disk().sync(effect);
            }
            if (fault || !syncReportedEarly) {
                report(node, epoch, fault ? new ReplicaInput.WriteFailed() : done);
            }
        });
    }

    private void report(VirtualNode node, int epoch, ReplicaInput input) {
        if (node.epoch() == epoch) {
            step(node, input);
        }
    }

    private void send(VirtualNode from, ReplicaOutput.Outgoing outgoing) {
        watcher.onSend(from, outgoing);
        int entries = outgoing.message() instanceof ReplicaMessage.AppendRequest request
                ? request.entries().size()
                : 0;
        from.addSentBytes(64 + 256L * entries);
        for (int copy = network.copies(from.host(), outgoing.host()); copy > 0; copy--) {
            after(network.delayNanos(), () -> deliver(from.host(), outgoing));
        }
    }

    private void deliver(HostId from, ReplicaOutput.Outgoing outgoing) {
        if (!network.delivers(from, outgoing.host())) {
            return;
        }
        for (VirtualNode node : nodes) {
            if (node.host().equals(outgoing.host()) && node.member().isPresent()) {
                step(node, new ReplicaInput.Received(outgoing.message()));
            }
        }
    }
}
