package org.plantainwharf.document;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.consensus.ConsensusController;
import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.forward.ForwardController;
import org.plantainwharf.forward.ForwardHead;
import org.plantainwharf.forward.ForwardLimits;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.testing.Samples;

/**
 * Three control daemons that run the control group, and entry daemons that learn its log, on a virtual clock. Version n of
 * the document has the routes {@code /r1} to {@code /rn} and the keys {@code key-1} to {@code key-n}. Links keep the order
 * of messages, except that large documents take as long as the link's rate says and let others pass. What a cut holds back
 * arrives when it heals, unless the link was closed as silent meanwhile. A paused daemon handles what arrived meanwhile
 * when it resumes, before its next tick. Not thread-safe.
 */
final class DocumentFleet {
    static final List<HostId> CONTROL = List.of(HostId.of("core-0"), HostId.of("core-1"), HostId.of("core-2"));
    private static final int STEP_MILLIS = 10;
    private static final int TICK_MILLIS = 50;
    private static final int LATENCY_MILLIS = 5;
    private static final int LARGE_BYTES = 16 << 10;
    private static final int PART_MILLIS = 200;
    private static final ServiceName SERVICE = ServiceName.of("desk");

    private final long seed;
    private final Map<HostId, Daemon> daemons = new LinkedHashMap<>();
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMillis).thenComparingLong(Delivery::order));
    private final Set<Set<HostId>> cuts = new HashSet<>();
    private final Set<Set<HostId>> closedLinks = new HashSet<>();
    private long linkBytesPerSecond = 100_000_000;
    private long nowMillis = 50_000;
    private long counter;

    private static final class Daemon {
        private final ControlCycle cycle;
        private final long incarnation;
        private final int tickOffset;
        private final Queue<Event> arrivedInPause = new ArrayDeque<>();
        private boolean paused;

        Daemon(ControlCycle cycle, long incarnation, int tickOffset) {
            this.cycle = cycle;
            this.incarnation = incarnation;
            this.tickOffset = tickOffset;
        }
    }

    private record Delivery(long atMillis, long order, HostId from, long incarnation, HostId to, Event event) {
        Set<HostId> link() {
            return Set.of(from, to);
        }
    }

    DocumentFleet(long seed) {
        this.seed = seed;
        CONTROL.forEach(this::startControl);
    }

    private void startControl(HostId host) {
        List<VoterId> voters =
                CONTROL.stream().map(voter -> VoterId.of(voter, 1)).toList();
        Board board = Board.create(Samples.settings(host.value()), 1, seed ^ host.hashCode());
        ConsensusController consensus = ConsensusController.createForDiscoveredHosts(
                board.settings(),
                CONTROL,
                1,
                new RecoveredGroup(1, "", new ReplicaSnapshot(1, 1, voters, List.of()), List.of()),
                board.configuration().state(),
                new SplittableRandom(seed ^ host.hashCode()),
                nanos());
        start(
                host,
                board,
                1,
                List.of(MembershipController.create(), consensus, DocumentController.create(DocumentFleet::decode)));
    }

    /** Starts an entry daemon, or replaces its process by a new one. */
    HostId startEntry(String name) {
        HostId host = HostId.of(name);
        counter++;
        long incarnation = counter;
        closeLinks(host);
        Board board = Board.create(Samples.settings(name), incarnation, seed ^ incarnation);
        ConsensusController consensus = ConsensusController.createForDiscoveredHosts(
                board.settings(),
                CONTROL,
                0,
                RecoveredGroup.empty(),
                board.configuration().state(),
                new SplittableRandom(seed ^ incarnation),
                nanos());
        start(
                host,
                board,
                incarnation,
                List.of(
                        MembershipController.create(),
                        RegistryController.learning(),
                        consensus,
                        DocumentController.learning(DocumentFleet::decode),
                        ForwardController.create(new ForwardLimits(0.5, 10, 8, 0, 0))));
        return host;
    }

    private void start(HostId host, Board board, long incarnation, List<Controller> controllers) {
        int offset = STEP_MILLIS
                * new SplittableRandom(seed ^ incarnation ^ host.hashCode()).nextInt(TICK_MILLIS / STEP_MILLIS);
        daemons.put(host, new Daemon(ControlCycle.create(board, controllers), incarnation, offset));
        CONTROL.stream()
                .filter(peer -> !peer.equals(host) && daemons.containsKey(peer))
                .forEach(peer -> connect(host, peer));
    }

    private static Either<Failure, ServiceDocument> decode(Content content) {
        int version = Integer.parseInt(new String(content.bytes(), StandardCharsets.UTF_8).trim());
        List<RouteRule> routes = IntStream.rangeClosed(1, version)
                .mapToObj(number -> new RouteRule(
                        RouteName.of("r" + number),
                        "a.example",
                        "/r" + number + "/",
                        Repeatability.SAFE,
                        5_000,
                        300,
                        0,
                        List.of(new RouteRule.Share(SERVICE, 1)),
                        2,
                        false,
                        false,
                        0))
                .toList();
        Set<String> keys = new LinkedHashSet<>();
        IntStream.rangeClosed(1, version).forEach(number -> keys.add("key-" + number));
        return Either.right(new ServiceDocument(
                version,
                routes,
                Map.of(SERVICE, new ServiceRule(SERVICE, 100, Optional.empty(), Optional.empty())),
                CallerBounds.defaults(),
                List.of(new AccountRule(AccountName.of("acme"), keys, OptionalLong.empty(), false, 200, 1, 1))));
    }

    /** Limits what a link to an entry daemon carries in a second; only large documents are slowed. */
    void limitEntryLinks(long bytesPerSecond) {
        linkBytesPerSecond = bytesPerSecond;
    }

    /** Commits a document. Its size in bytes is at least {@code bytes}. */
    void submit(int version, int bytes) {
        String text = " ".repeat(bytes) + version;
        Content content = Content.of("application/json", text.getBytes(StandardCharsets.UTF_8));
        counter++;
        run(
                leader(),
                new ReplicationEvent.ProposalRequested(
                        "document-" + counter, 0, new Command.ReplaceDocument(version, content)));
    }

    /** Returns the control daemon that leads and is not paused; fails without one. */
    HostId leader() {
        return findLeader().orElseThrow();
    }

    Optional<HostId> findLeader() {
        return CONTROL.stream()
                .filter(host -> !daemon(host).paused
                        && daemon(host).cycle.board().consensus().group(0).holdsLease(nanos()))
                .findFirst();
    }

    /** Returns a control daemon that does not lead. */
    HostId follower() {
        HostId leader = leader();
        return CONTROL.stream().filter(host -> !host.equals(leader)).findFirst().orElseThrow();
    }

    /** Lets messages between two daemons wait, or delivers those that waited. */
    void cut(HostId one, HostId other, boolean cut) {
        if (cut) {
            cuts.add(Set.of(one, other));
        } else {
            cuts.remove(Set.of(one, other));
        }
    }

    void cutFromControl(HostId entry, boolean cut) {
        CONTROL.forEach(host -> cut(entry, host, cut));
    }

    void pause(HostId host) {
        daemon(host).paused = true;
    }

    /** Continues a daemon. What arrived in the pause is still to be handled. */
    void resume(HostId host) {
        daemon(host).paused = false;
    }

    /** Returns whether a daemon has applied a version of the document. */
    boolean hasApplied(HostId host, int version) {
        return daemon(host)
                .cycle
                .board()
                .configuration()
                .state()
                .document()
                .filter(document -> document.version() >= version)
                .isPresent();
    }

    /** Returns whether a request of a daemon for entries after the snapshot is on its way over a link. */
    boolean hasRequestedEntries(HostId host) {
        return network.stream()
                .filter(delivery -> delivery.from().equals(host))
                .anyMatch(delivery -> delivery.event() instanceof PeerEvent.PeerMessageReceived received
                        && received.message() instanceof PeerMessage.Replication replication
                        && replication.message() instanceof ReplicaMessage.StreamRequest request
                        && request.afterIndex() > 0);
    }

    /** Returns whether a document is in force on a daemon. */
    boolean hasDocument(HostId host) {
        return daemon(host).cycle.board().documents().table().isPresent();
    }

    /** Returns the version of the document in force on a daemon. */
    long versionInForce(HostId host) {
        return daemon(host).cycle.board().documents().version();
    }

    /** Advances the clock, delivers messages and ticks the daemons. */
    void advance(long millis) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis += STEP_MILLIS;
            List<Delivery> held = new ArrayList<>();
            while (!network.isEmpty() && network.peek().atMillis() <= nowMillis) {
                Delivery delivery = network.remove();
                if (cuts.contains(delivery.link())) {
                    held.add(delivery);
                } else {
                    deliver(delivery);
                }
            }
            network.addAll(held);
            reopenLinks();
            for (HostId host : List.copyOf(daemons.keySet())) {
                Daemon daemon = daemon(host);
                if (!daemon.paused) {
                    while (!daemon.arrivedInPause.isEmpty()) {
                        run(host, daemon.arrivedInPause.remove());
                    }
                    if ((nowMillis + daemon.tickOffset) % TICK_MILLIS == 0) {
                        run(host, new TimerEvent.Tick());
                    }
                }
            }
        }
    }

    private void deliver(Delivery delivery) {
        Daemon daemon = daemon(delivery.to());
        if (closedLinks.contains(delivery.link()) || daemon(delivery.from()).incarnation != delivery.incarnation()) {
            return;
        }
        if (daemon.paused) {
            daemon.arrivedInPause.add(delivery.event());
        } else {
            run(delivery.to(), delivery.event());
        }
    }

    /** Handles the oldest event that arrived while a daemon was paused, as a resumed daemon does before its next tick. */
    void handleOneFromPause(HostId host) {
        run(host, daemon(host).arrivedInPause.remove());
    }

    boolean hasArrivedInPause(HostId host) {
        return !daemon(host).arrivedInPause.isEmpty();
    }

    /** Returns with what a daemon refuses a request; empty if its document allows the request. */
    Optional<ErrorKind> refusal(HostId entry, int route, int key) {
        counter++;
        ForwardEvent arrived = new ForwardEvent.ForwardArrived(
                counter,
                ForwardHead.of(
                        "id-" + counter,
                        "a.example",
                        "/r" + route + "/",
                        Optional.of("key-" + key),
                        OptionalLong.of(3_000),
                        Optional.empty(),
                        Fingerprint.of("content-" + counter)),
                nanos());
        return run(entry, arrived).stream()
                .filter(ForwardEffect.RefuseForward.class::isInstance)
                .map(effect -> ((ForwardEffect.RefuseForward) effect).failure().kind())
                .filter(kind -> kind != ErrorKind.NO_SERVER_AVAILABLE)
                .findFirst();
    }

    private List<Effect> run(HostId host, Event event) {
        List<Effect> effects = daemon(host).cycle.run(event, nanos(), 0);
        effects.forEach(effect -> execute(host, effect));
        return effects;
    }

    private void execute(HostId host, Effect effect) {
        switch (effect) {
            case PeerEffect.SendToPeer send -> send(host, send);
            case PeerEffect.CloseLink close -> closedLinks.add(Set.of(host, close.peer()));
            case StorageEffect.WriteLog write ->
                run(host, new StorageEvent.WriteSynced(write.group(), write.writeNumber()));
            case StorageEffect.WriteSnapshot write ->
                run(host, new StorageEvent.SnapshotSynced(write.group(), write.lastIndex()));
            default -> {}
        }
    }

    private void send(HostId host, PeerEffect.SendToPeer send) {
        if (!daemons.containsKey(send.peer()) || closedLinks.contains(Set.of(host, send.peer()))) {
            return;
        }
        long bytes = size(send.message());
        long transferMillis = bytes < LARGE_BYTES || CONTROL.contains(send.peer())
                ? 0
                : TimeUnit.SECONDS.toMillis(bytes) / linkBytesPerSecond;
        long incarnation = daemon(host).incarnation;
        for (long millis = PART_MILLIS; millis < transferMillis; millis += PART_MILLIS) {
            enqueue(host, send.peer(), millis, new PeerEvent.ContentProgressed(host, incarnation));
        }
        enqueue(
                host,
                send.peer(),
                transferMillis,
                new PeerEvent.PeerMessageReceived(host, incarnation, send.message()));
    }

    private void enqueue(HostId from, HostId to, long transferMillis, Event event) {
        counter++;
        long atMillis = nowMillis + LATENCY_MILLIS + transferMillis;
        network.add(new Delivery(atMillis, counter, from, daemon(from).incarnation, to, event));
    }

    private static long size(PeerMessage message) {
        if (message instanceof PeerMessage.Replication replication
                && replication.message() instanceof ReplicaMessage.AppendRequest append) {
            return append.entries().stream()
                    .map(ReplicaEntry::command)
                    .filter(Command.ReplaceDocument.class::isInstance)
                    .mapToLong(command ->
                            ((Command.ReplaceDocument) command).content().length())
                    .sum();
        }
        return 0;
    }

    private void closeLinks(HostId host) {
        CONTROL.forEach(peer -> {
            network.removeIf(delivery -> delivery.link().equals(Set.of(host, peer)));
            if (daemons.containsKey(host)) {
                run(peer, new PeerEvent.PeerDisconnected(host, daemon(host).incarnation));
            }
        });
    }

    private void reopenLinks() {
        for (Set<HostId> link : List.copyOf(closedLinks)) {
            List<HostId> ends = List.copyOf(link);
            if (!cuts.contains(link) && ends.stream().noneMatch(host -> daemon(host).paused)) {
                connect(ends.getFirst(), ends.getLast());
            }
        }
    }

    private void connect(HostId one, HostId other) {
        network.removeIf(delivery -> delivery.link().equals(Set.of(one, other)));
        closedLinks.remove(Set.of(one, other));
        announce(one, other);
        announce(other, one);
    }

    private void announce(HostId from, HostId to) {
        AvailabilityZone zone = AvailabilityZone.of("zone-a");
        enqueue(from, to, 0, new PeerEvent.PeerConnected(from, zone, daemon(from).incarnation));
    }

    private Daemon daemon(HostId host) {
        return Objects.requireNonNull(daemons.get(host));
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }
}
