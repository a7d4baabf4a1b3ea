package org.plantainwharf.rollout;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.codec.ProtobufRecordCodec;
import org.plantainwharf.consensus.ConsensusController;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.effect.RolloutEffect;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.storage.BootstrapState;
import org.plantainwharf.storage.StorageWriter;
import org.plantainwharf.testing.Samples;

/**
 * Three control daemons with real logs on disk, on a virtual clock. A write reaches the disk after a delay of the clock; what
 * has not reached it is lost with the daemon. Links keep the order of messages; what a cut holds back arrives when it heals,
 * unless the link was closed as silent meanwhile. The daemons' clocks of the day differ by up to two seconds. Invariant,
 * checked after every step: no daemon takes a verdict back or has another target under the same number. Not thread-safe.
 */
final class RolloutLogFleet implements AutoCloseable {
    static final List<HostId> CONTROL = List.of(HostId.of("core-0"), HostId.of("core-1"), HostId.of("core-2"));

    private static final int STEP_MILLIS = 10;
    private static final int TICK_MILLIS = 50;
    private static final int LATENCY_MILLIS = 5;
    private static final int SYNC_TIMEOUT_SECONDS = 20;
    private static final int MAXIMUM_SKEW_MILLIS = 2_000;

    private final long seed;
    private final Path folder;
    private final SplittableRandom random;
    private final Map<HostId, Daemon> daemons = new LinkedHashMap<>();
    private final Map<HostId, Integer> disks = new HashMap<>();
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMillis).thenComparingLong(Delivery::order));
    private final Set<Set<HostId>> cuts = new HashSet<>();
    private final Set<Set<HostId>> closedLinks = new HashSet<>();
    private final Set<HostId> stalledDisks = new HashSet<>();
    private final Map<Long, RolloutEffect> answers = new HashMap<>();
    private final Set<Long> acknowledgedDocuments = new HashSet<>();
    private final Map<String, Rollout> seenRollouts = new HashMap<>();
    private long nowMillis = 1_000_000;
    private long counter;

    private static final class Daemon {
        private final ControlCycle cycle;
        private final long incarnation;
        private final long skewMillis;
        private final StorageWriter storage;
        private final BlockingQueue<Event> results;
        private final Deque<PendingWrite> writes = new ArrayDeque<>();

        Daemon(
                ControlCycle cycle,
                long incarnation,
                long skewMillis,
                StorageWriter storage,
                BlockingQueue<Event> results) {
            this.cycle = cycle;
            this.incarnation = incarnation;
            this.skewMillis = skewMillis;
            this.storage = storage;
            this.results = results;
        }
    }

    private record PendingWrite(long atMillis, StorageEffect effect) {}

    private record Delivery(long atMillis, long order, HostId from, long incarnation, HostId to, Event event) {
        Set<HostId> link() {
            return Set.of(from, to);
        }
    }

    /** Passes the results of writes to the test. Thread-safe. */
    private record QueueSink(BlockingQueue<Event> queue) implements EventSink {
        @Override
        public boolean offer(Event event) {
            return queue.offer(event);
        }

        @Override
        public void post(Event event) {
            queue.add(event);
        }
    }

    private RolloutLogFleet(long seed, Path folder) {
        this.seed = seed;
        this.folder = folder;
        this.random = new SplittableRandom(seed);
    }

    /** Starts the daemons, waits for a leader, and puts a document with these services in force. */
    static RolloutLogFleet start(long seed, Path folder, String... services) throws InterruptedException {
        RolloutLogFleet fleet = new RolloutLogFleet(seed, folder.resolve("seed-" + seed));
        CONTROL.forEach(fleet::startDaemon);
        fleet.awaitLeader();
        fleet.replaceDocument(fleet.leader(), 1, services);
        fleet.advance(500);
        return fleet;
    }

    /** Starts a daemon with what its disk holds. */
    void startDaemon(HostId host) {
        counter++;
        long incarnation = counter;
        List<VoterId> voters = CONTROL.stream()
                .map(voter -> VoterId.of(voter, BootstrapState.INCARNATION))
                .toList();
        BlockingQueue<Event> results = new LinkedBlockingQueue<>();
        Path disk = folder.resolve(host.value() + "-" + disks.getOrDefault(host, 0));
        ProtobufRecordCodec codec = ProtobufRecordCodec.create();
        // Only the first disk of a daemon is that of an initial voter.
        Either<Failure, StorageWriter> opened = disks.containsKey(host)
                ? StorageWriter.open(disk, codec, new QueueSink(results))
                : StorageWriter.open(
                        disk,
                        codec,
                        new QueueSink(results),
                        new BootstrapState(
                                BootstrapState.INCARNATION, 0, new ReplicaSnapshot(1, 1, voters, List.of())));
        StorageWriter storage = opened.get();
        Board board = Board.create(Samples.settings(host.value()), incarnation, seed ^ incarnation);
        ConsensusController consensus = ConsensusController.createForDiscoveredHosts(
                board.settings(),
                CONTROL.stream().filter(other -> !other.equals(host)).toList(),
                storage.diskIncarnation(),
                storage.recover(0),
                board.configuration().state(),
                new SplittableRandom(seed ^ incarnation),
                nanos());
        ControlCycle cycle = ControlCycle.create(
                board,
                List.of(
                        MembershipController.create(),
                        consensus,
                        DocumentController.create(RolloutLogFleet::decode),
                        RolloutOrderController.create(),
                        RolloutLogController.create()));
        long skewMillis = new SplittableRandom(seed ^ host.hashCode()).nextInt(MAXIMUM_SKEW_MILLIS);
        daemons.put(host, new Daemon(cycle, incarnation, skewMillis, storage, results));
        daemons.keySet().stream().filter(other -> !other.equals(host)).toList().forEach(other -> connect(host, other));
    }

    private static Either<Failure, ServiceDocument> decode(Content content) {
        List<String> words = List.of(new String(content.bytes(), StandardCharsets.UTF_8).split(" "));
        Map<ServiceName, ServiceRule> services = new HashMap<>();
        words.subList(1, words.size()).forEach(word -> {
            ServiceName name = ServiceName.of(word);
            services.put(name, new ServiceRule(name, 100, Optional.empty(), Optional.empty()));
        });
        return Either.right(new ServiceDocument(
                Long.parseLong(words.getFirst()), List.of(), services, CallerBounds.defaults(), List.of()));
    }

    /** Submits a document and waits until it is acknowledged. */
    void replaceDocument(HostId host, long version, String... services) throws InterruptedException {
        Content content =
                Content.of("text/plain", (version + " " + String.join(" ", services)).getBytes(StandardCharsets.UTF_8));
        counter++;
        long ticket = counter;
        run(host, new DocumentEvent.DocumentSubmitted(ticket, decode(content).get(), content));
        for (int step = 0; step < 500 && !acknowledgedDocuments.contains(ticket); step++) {
            advance(STEP_MILLIS);
        }
        if (!acknowledgedDocuments.contains(ticket)) {
            throw new AssertionError("seed " + seed + ": document " + version + " was not acknowledged");
        }
    }

    /** Orders a rollout; the answer can be taken with {@link #answer}. */
    long order(HostId host, String service, String target, long durationMillis) throws InterruptedException {
        counter++;
        long ticket = counter;
        run(
                host,
                new RolloutEvent.RolloutOrdered(
                        ticket, ServiceName.of(service), ServerVersion.of(target), durationMillis));
        return ticket;
    }

    long read(HostId host, String service) throws InterruptedException {
        counter++;
        long ticket = counter;
        run(host, new RolloutEvent.RolloutRequested(ticket, ServiceName.of(service)));
        return ticket;
    }

    /** Returns the answer to a request so far. */
    Optional<RolloutEffect> answer(long ticket) {
        return Optional.ofNullable(answers.get(ticket));
    }

    /** Waits for the answer to a request; fails if there is none within 5 s. */
    RolloutEffect awaitAnswer(long ticket) throws InterruptedException {
        for (int step = 0; step < 500 && !answers.containsKey(ticket); step++) {
            advance(STEP_MILLIS);
        }
        return answer(ticket).orElseThrow(() -> new AssertionError("seed " + seed + ": no answer within 5 s"));
    }

    /** Proposes a command at a daemon without waiting for its result. */
    void propose(HostId host, Command command) throws InterruptedException {
        counter++;
        run(host, new ReplicationEvent.ProposalRequested("test-" + counter, 0, command));
    }

    /** Returns the newest rollout of a service as a daemon has applied it. */
    Optional<Rollout> applied(HostId host, String service) {
        return daemon(host).cycle.board().configuration().state().rollout(ServiceName.of(service));
    }

    HostId leader() {
        return findLeader().orElseThrow(() -> new AssertionError("seed " + seed + ": no leader"));
    }

    Optional<HostId> findLeader() {
        return daemons.keySet().stream()
                .filter(host -> daemon(host).cycle.board().consensus().group(0).holdsLease(nanos()))
                .findFirst();
    }

    /** Returns a daemon that does not lead. */
    HostId follower() {
        HostId leader = leader();
        return CONTROL.stream()
                .filter(host -> !host.equals(leader) && daemons.containsKey(host))
                .findFirst()
                .orElseThrow();
    }

    void awaitLeader() throws InterruptedException {
        for (int step = 0; step < 1_500 && findLeader().isEmpty(); step++) {
            advance(STEP_MILLIS);
        }
        leader();
    }

    Set<HostId> running() {
        return Set.copyOf(daemons.keySet());
    }

    /** Ends a daemon; what has not reached its disk is lost. */
    void kill(HostId host) throws InterruptedException {
        Daemon killed = daemon(host);
        daemons.remove(host);
        killed.storage.close();
        network.removeIf(delivery -> delivery.link().contains(host));
        closedLinks.removeIf(link -> link.contains(host));
        for (HostId other : List.copyOf(daemons.keySet())) {
            run(other, new PeerEvent.PeerDisconnected(host, killed.incarnation));
        }
    }

    /** Ends all daemons at once. */
    void losePower() throws InterruptedException {
        for (HostId host : List.copyOf(daemons.keySet())) {
            Daemon killed = daemon(host);
            daemons.remove(host);
            killed.storage.close();
        }
        network.clear();
        closedLinks.clear();
    }

    void startAll() {
        CONTROL.stream().filter(host -> !daemons.containsKey(host)).forEach(this::startDaemon);
    }

    /** Ends a daemon and starts it with an empty disk. */
    void loseDisk(HostId host) throws InterruptedException {
        kill(host);
        disks.merge(host, 1, Integer::sum);
        startDaemon(host);
    }

    void stallDisk(HostId host, boolean stalled) {
        if (stalled) {
            stalledDisks.add(host);
        } else {
            stalledDisks.remove(host);
        }
    }

    /** Cuts a daemon off from the others, or heals the cut. */
    void cutOff(HostId host, boolean cut) {
        CONTROL.stream().filter(other -> !other.equals(host)).forEach(other -> {
            if (cut) {
                cuts.add(Set.of(host, other));
            } else {
                cuts.remove(Set.of(host, other));
            }
        });
    }

    /** Advances the clock, carries out writes, delivers messages and ticks the daemons. */
    void advance(long millis) throws InterruptedException {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis += STEP_MILLIS;
            for (HostId host : List.copyOf(daemons.keySet())) {
                carryOutWrites(host);
            }
            deliverDue();
            reopenLinks();
            if (nowMillis % TICK_MILLIS == 0) {
                for (HostId host : List.copyOf(daemons.keySet())) {
                    run(host, new TimerEvent.Tick());
                }
            }
            checkRollouts();
        }
    }

    private void carryOutWrites(HostId host) throws InterruptedException {
        Daemon daemon = daemon(host);
        while (!daemon.writes.isEmpty()
                && daemon.writes.peek().atMillis() <= nowMillis
                && !stalledDisks.contains(host)) {
            daemon.storage.execute(daemon.writes.remove().effect());
            @Nullable Event result = daemon.results.poll(SYNC_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            run(host, Objects.requireNonNull(result, "a write was not carried out"));
        }
    }

    private void deliverDue() throws InterruptedException {
        List<Delivery> held = new ArrayList<>();
        while (!network.isEmpty() && network.peek().atMillis() <= nowMillis) {
            Delivery delivery = network.remove();
            if (cuts.contains(delivery.link())) {
                held.add(delivery);
            } else if (!closedLinks.contains(delivery.link())
                    && daemons.containsKey(delivery.to())
                    && daemons.containsKey(delivery.from())
                    && daemon(delivery.from()).incarnation == delivery.incarnation()) {
                run(delivery.to(), delivery.event());
            }
        }
        network.addAll(held);
    }

    private void checkRollouts() {
        daemons.forEach((host, daemon) -> daemon.cycle
                .board()
                .configuration()
                .state()
                .rollouts()
                .forEach(rollout -> {
                    String key = rollout.service() + " " + rollout.number();
                    @Nullable Rollout seen = seenRollouts.get(key);
                    if (seen != null
                            && (!seen.target().equals(rollout.target())
                                    || seen.phase().ended()
                                            && rollout.phase().ended()
                                            && !seen.phase().equals(rollout.phase()))) {
                        throw new AssertionError("seed " + seed + ": " + host + " has " + rollout + " after " + seen);
                    }
                    if (seen == null || seen.phase().mayBecome(rollout.phase())) {
                        seenRollouts.put(key, rollout);
                    }
                }));
    }

    private void run(HostId host, Event event) throws InterruptedException {
        Daemon daemon = daemon(host);
        for (Effect effect : daemon.cycle.run(event, nanos(), nowMillis + daemon.skewMillis)) {
            execute(host, daemon, effect);
        }
    }

    private void execute(HostId host, Daemon daemon, Effect effect) {
        switch (effect) {
            case PeerEffect.SendToPeer send -> {
                if (daemons.containsKey(send.peer()) && !closedLinks.contains(Set.of(host, send.peer()))) {
                    enqueue(
                            host,
                            send.peer(),
                            new PeerEvent.PeerMessageReceived(host, daemon.incarnation, send.message()));
                }
            }
            case PeerEffect.CloseLink close -> closedLinks.add(Set.of(host, close.peer()));
            case StorageEffect write ->
                daemon.writes.add(new PendingWrite(nowMillis + random.nextInt(1, 3) * STEP_MILLIS, write));
            case RolloutEffect.AcknowledgeOrder answer -> recordAnswer(answer.ticket(), answer);
            case RolloutEffect.ReturnRollout answer -> recordAnswer(answer.ticket(), answer);
            case RolloutEffect.RefuseRollout answer -> recordAnswer(answer.ticket(), answer);
            case DocumentEffect.AcknowledgeDocument acknowledged -> acknowledgedDocuments.add(acknowledged.ticket());
            default -> {}
        }
    }

    private void recordAnswer(long ticket, RolloutEffect answer) {
        if (answers.put(ticket, answer) != null) {
            throw new AssertionError("seed " + seed + ": two answers to request " + ticket);
        }
    }

    private void enqueue(HostId from, HostId to, Event event) {
        counter++;
        network.add(new Delivery(nowMillis + LATENCY_MILLIS, counter, from, daemon(from).incarnation, to, event));
    }

    private void reopenLinks() {
        for (Set<HostId> link : List.copyOf(closedLinks)) {
            List<HostId> ends = List.copyOf(link);
            if (!cuts.contains(link) && daemons.keySet().containsAll(ends)) {
                connect(ends.getFirst(), ends.getLast());
            }
        }
    }

    private void connect(HostId one, HostId other) {
        network.removeIf(delivery -> delivery.link().equals(Set.of(one, other)));
        closedLinks.remove(Set.of(one, other));
        AvailabilityZone zone = AvailabilityZone.of("zone-a");
        enqueue(one, other, new PeerEvent.PeerConnected(one, zone, daemon(one).incarnation));
        enqueue(other, one, new PeerEvent.PeerConnected(other, zone, daemon(other).incarnation));
    }

    private Daemon daemon(HostId host) {
        return Objects.requireNonNull(daemons.get(host), () -> host + " does not run");
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    @Override
    public void close() throws InterruptedException {
        losePower();
    }
}
