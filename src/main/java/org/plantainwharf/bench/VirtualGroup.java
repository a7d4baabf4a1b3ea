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
import org.plantainwharf.storage.BootstrapState;

/**
 * Deterministic simulation of one replication group: real members on a virtual clock with simulated network and disks.
 * Equal seeds and calls give equal runs. Not thread-safe.
 */
public final class VirtualGroup {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final List<VirtualNode> nodes = new ArrayList<>();
    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::dueNanos).thenComparingLong(ScheduledAction::order));
    private final SplittableRandom random;
    private final VirtualNetwork network;
    private final ReplicaOptions options;
    private final Observer observer;
    private final List<HostId> voterHosts;
    private final boolean discoversVoters;
    private long syncNanos = TimeUnit.MILLISECONDS.toNanos(2);
    private boolean reportsSyncEarly;
    private int snapshotEntries = 256;
    private long nowNanos;
    private long nextOrder;

    /** Observes the members of a group. */
    public interface Observer {
        /** Called when a member sends a message, before the network delivers or drops it. */
        void onSend(VirtualNode from, ReplicaOutput.Outgoing outgoing);

        /** Called when a member has applied a committed entry. */
        void onCommit(VirtualNode node, ReplicaEntry entry);

        /** Called when a member has processed an input and its output has been handled. */
        void onStep(VirtualGroup group, VirtualNode node, ReplicaOutput output);

        /** Returns an instance that ignores all calls. */
        static Observer none() {
            return new Observer() {
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
            Observer observer) {
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

    /** Writes the common initial content of the first voters to the disk of one of them. */
    private void initializeFirstVoter(VirtualNode node, int firstVoters) {
        List<VoterId> voters = nodes.stream()
                .limit(firstVoters)
                .map(first -> VoterId.of(first.host(), BootstrapState.INCARNATION))
                .toList();
        node.loseDisk(BootstrapState.INCARNATION);
        node.disk().sync(new StorageEffect.WriteLog(0, 0, 1, "", 0, List.of()));
        node.disk().sync(new StorageEffect.WriteSnapshot(0, 1, 1, voters, List.of(), 2));
    }

    /** Erases a first voter's disk and writes the initial content again, which a restarted host must never do. */
    public void reinitializeFirstVoter(VirtualNode node, int firstVoters) {
        initializeFirstVoter(node, firstVoters);
    }

    /**
     * Creates a group with configured voters and starts all members.
     *
     * @param voters number of hosts with disks, all of them voters
     * @param learners number of hosts without disks
     * @param maximumClockDrift largest relative error of a host's clock rate, 0 for exact clocks
     */
    public static VirtualGroup create(
            long seed, int voters, int learners, double maximumClockDrift, ReplicaOptions options, Observer observer) {
        return new VirtualGroup(seed, voters, learners, 0, maximumClockDrift, options, observer);
    }

    /**
     * Creates a group whose hosts are discovered instead of configured, and starts all members. The first voters have
     * the initial content on their disks, the other hosts have empty disks.
     *
     * @param hosts number of hosts with disks
     * @param firstVoters number of these hosts that are voters from the start
     * @param maximumClockDrift largest relative error of a host's clock rate, 0 for exact clocks
     */
    public static VirtualGroup createWithDiscovery(
            long seed,
            int hosts,
            int firstVoters,
            double maximumClockDrift,
            ReplicaOptions options,
            Observer observer) {
        return new VirtualGroup(seed, hosts, 0, firstVoters, maximumClockDrift, options, observer);
    }

    /** Returns all hosts, voters first. */
    public List<VirtualNode> nodes() {
        return nodes;
    }

    public VirtualNetwork network() {
        return network;
    }

    /** Returns the virtual time. */
    public long nowNanos() {
        return nowNanos;
    }

    /** Sets the duration of a synced write. */
    public void setSyncNanos(long nanos) {
        syncNanos = nanos;
    }

    /** Sets the number of applied entries after which a member takes a snapshot. */
    public void setSnapshotEntries(int entries) {
        snapshotEntries = entries;
    }

    /**
     * Makes disks report a write as synced as soon as it starts. Tests use this fault to check that they detect
     * acknowledgement before the sync.
     */
    public void reportSyncEarly() {
        reportsSyncEarly = true;
    }

    /** Starts or restarts a host from the synced content of its disk. */
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

    /** Crashes a host; writes that are not yet synced are lost. */
    public void crash(VirtualNode node) {
        node.setMember(null);
    }

    /** Proposes a command on a host. Returns the log index of the command, 0 if it was rejected or the host is down. */
    public long propose(VirtualNode node, Command command) {
        return node.member().isEmpty()
                ? 0
                : step(node, new ReplicaInput.Proposed(command)).appendedIndex();
    }

    /** Passes an input to the member of a running host and carries out its output. */
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

    /** Returns the first host that reports itself as leader with a valid lease, empty if there is none. */
    public Optional<VirtualNode> leader() {
        return nodes.stream()
                .filter(node -> node.status(nowNanos)
                        .filter(status -> status.holdsLease(node.localNanos(nowNanos)))
                        .isPresent())
                .findFirst();
    }

    /** Returns the largest commit index of all running hosts, 0 if none runs. */
    public long commitIndex() {
        return nodes.stream()
                .flatMap(node -> node.status(nowNanos).stream())
                .mapToLong(GroupStatus::commitIndex)
                .max()
                .orElse(0);
    }

    /** Runs the simulation for a time. */
    public void run(long nanos) {
        long end = nowNanos + nanos;
        while (!scheduledActions.isEmpty() && scheduledActions.peek().dueNanos() <= end) {
            runNextAction();
        }
        nowNanos = end;
    }

    /** Runs the simulation until a leader holds a lease or the time limit is reached. Returns whether one holds it. */
    public boolean runUntilLeader(long limitNanos) {
        long end = nowNanos + limitNanos;
        while (leader().isEmpty()
                && !scheduledActions.isEmpty()
                && scheduledActions.peek().dueNanos() <= end) {
            runNextAction();
        }
        return leader().isPresent();
    }

    /** Schedules an action after a delay. */
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
