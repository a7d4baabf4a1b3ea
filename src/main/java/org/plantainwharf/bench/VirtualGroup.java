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
    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::dueNanos).thenComparingLong(ScheduledAction::order));
    private final SplittableRandom random;
    private final VirtualNetwork network;
    private final ReplicaOptions options;
    private final Watcher observer;
    private final List<HostId> voterHosts;
    private final boolean discoversVoters;
    private long syncNanos = TimeUnit.MILLISECONDS.toNanos(2);
    private boolean reportsSyncEarly;
    private int snapshotEntries = 256;
    private long nowNanos;
    private long nextOrder;

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

    private record ScheduledAction(long dueNanos, long order, Runnable action) {}

    private VirtualGroup(
            long seed,
            int voters,
            int learners,
            int firstVoters,
            double maximumClockDrift,
            ReplicaOptions options,
            Watcher observer) {
        this.discoversVoters = firstVoters > 0;
        this.random = new SplittableRandom(seed);
        this.network = VirtualNetwork.create(random.split(), TimeUnit.MILLISECONDS.toNanos(1));
        this.options = options;
        this.observer = observer;
        for (int index = 0; index < voters + learners; index++) {
            double rate = 1 + maximumClockDrift * (2 * random.nextDouble() - 1);
            HostId host = HostId.of((index < voters ? "voter-" : "learner-") + index);
            nodes.add(VirtualNode.create(host, index + 1, index >= voters, rate));
        }
        this.voterHosts = nodes.stream()
                .filter(node -> !node.learner())
                .map(VirtualNode::host)
                .toList();
        if (discoversVoters) {
            nodes.stream().limit(firstVoters).forEach(node -> initializeFirstVoter(node, firstVoters));
        }
        nodes.forEach(this::start);
    }

    /** Gives a first voter's disk the content that all of them begin with. */
    private void initializeFirstVoter(VirtualNode node, int firstVoters) {
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
        initializeFirstVoter(node, firstVoters);
    }

    /**
     * Returns a group whose members have all started.
     *
     * @param maximumClockDrift largest relative error of a host's clock
     */
    public static VirtualGroup create(
            long seed, int voters, int learners, double maximumClockDrift, ReplicaOptions options, Watcher observer) {
        return new VirtualGroup(seed, voters, learners, 0, maximumClockDrift, options, observer);
    }

    /**
     * Returns a group without a list of its members: some hosts begin as its voters, the others have empty disks.
     *
     * @param hosts hosts with disks
     * @param firstVoters those of them whose disks begin with the group's first content
     */
    public static VirtualGroup createSeeded(
            long seed, int hosts, int firstVoters, double maximumClockDrift, ReplicaOptions options, Watcher observer) {
        return new VirtualGroup(seed, hosts, 0, firstVoters, maximumClockDrift, options, observer);
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
        reportsSyncEarly = true;
    }

    /** Starts or restarts a host from what its disk holds. */
    public void start(VirtualNode node) {
        long local = node.localNanos(nowNanos);
        node.resetApplied(0);
        if (node.learner()) {
            node.setMember(Learner.create(0, node.identity(), voterHosts, options, local));
        } else {
            node.resetApplied(node.disk().content().snapshot().lastIndex());
            LogHosts hosts = discoversVoters ? LogHosts.discovered(voterHosts) : LogHosts.configured(voterHosts);
            node.setMember(Replica.recover(
                    0, node.identity(), hosts, options, node.disk().content(), random.split(), local));
        }
        int epoch = node.epoch();
        schedule(random.nextLong(TICK_NANOS), () -> tick(node, epoch));
    }

    /** Stops a host; writes under way are lost. */
    public void crash(VirtualNode node) {
        node.setMember(null);
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
        output.installed().ifPresent(snapshot -> node.resetApplied(snapshot.lastIndex()));
        for (ReplicaEntry entry : output.committed()) {
            node.apply(entry.index(), entry.command());
            observer.onCommit(node, entry);
        }
        output.writes().forEach(effect -> write(node, effect));
        output.messages().forEach(outgoing -> send(node, outgoing));
        observer.onStep(this, node, output);
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
        while (!scheduledActions.isEmpty() && scheduledActions.peek().dueNanos() <= end) {
            runNextAction();
        }
        nowNanos = end;
    }

    /** Runs until a leader holds a lease, for a limited time. Returns whether there is one. */
    public boolean runUntilLeader(long limitNanos) {
        long end = nowNanos + limitNanos;
        while (leader().isEmpty()
                && !scheduledActions.isEmpty()
                && scheduledActions.peek().dueNanos() <= end) {
            runNextAction();
        }
        return leader().isPresent();
    }

    /** Does something later. */
    public void schedule(long nanos, Runnable action) {
        scheduledActions.add(new ScheduledAction(nowNanos + nanos, nextOrder++, action));
    }

    private void runNextAction() {
        ScheduledAction next = scheduledActions.remove();
        nowNanos = next.dueNanos();
        next.action().run();
    }

    private void tick(VirtualNode node, int epoch) {
        if (node.epoch() == epoch) {
            step(node, new ReplicaInput.Ticked());
            schedule((long) (TICK_NANOS / node.clockRate()), () -> tick(node, epoch));
        }
    }

    private void write(VirtualNode node, StorageEffect effect) {
        int epoch = node.epoch();
        boolean fault = node.consumeWriteFault();
        long end = node.scheduleWrite(nowNanos, syncNanos);
        ReplicaInput done =
                switch (effect) {
                    case StorageEffect.WriteLog write -> new ReplicaInput.WriteSynced(write.writeNumber());
                    case StorageEffect.WriteSnapshot write -> new ReplicaInput.SnapshotSynced(write.lastIndex());
                };
        if (reportsSyncEarly && !fault) {
            schedule(0, () -> reportCompletion(node, epoch, done));
        }
        schedule(end - nowNanos, () -> {
            if (node.epoch() != epoch) {
                return;
            }
            if (!fault) {
                node.disk().sync(effect);
            }
            if (fault || !reportsSyncEarly) {
                reportCompletion(node, epoch, fault ? new ReplicaInput.WriteFailed() : done);
            }
        });
    }

    private void reportCompletion(VirtualNode node, int epoch, ReplicaInput input) {
        if (node.epoch() == epoch) {
            step(node, input);
        }
    }

    private void send(VirtualNode from, ReplicaOutput.Outgoing outgoing) {
        observer.onSend(from, outgoing);
        int entries = outgoing.message() instanceof ReplicaMessage.AppendRequest request
                ? request.entries().size()
                : 0;
        from.addSentBytes(64 + 256L * entries);
        for (int copy = network.copyCount(from.host(), outgoing.host()); copy > 0; copy--) {
            schedule(network.delayNanos(), () -> deliver(from.host(), outgoing));
        }
    }

    private void deliver(HostId from, ReplicaOutput.Outgoing outgoing) {
        if (!network.isConnected(from, outgoing.host())) {
            return;
        }
        for (VirtualNode node : nodes) {
            if (node.host().equals(outgoing.host()) && node.member().isPresent()) {
                step(node, new ReplicaInput.Received(outgoing.message()));
            }
        }
    }
}
