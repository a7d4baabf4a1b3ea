package org.plantainwharf.handover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.duty.UsageController;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.forward.ForwardController;
import org.plantainwharf.forward.ForwardHead;
import org.plantainwharf.forward.ForwardLimits;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.testing.Samples;

/**
 * Entry daemons with the real forward and reach controllers, a control daemon, and servers of two services on a virtual clock.
 * Links between entry daemons and servers can be cut. Callers send to one daemon and do not return. Used by one thread.
 */
final class CutFleet {
    static final ServiceName DESK = ServiceName.of("desk");
    static final ServiceName ARCHIVE = ServiceName.of("archive");
    static final AccountName ACCOUNT = AccountName.of("acme");
    private static final String KEY = "key-of-acme";
    private static final long TICK_MILLIS = 50;
    private static final long REPORT_MILLIS = 1_000;
    private static final long LINK_MILLIS = 1;
    private static final long WORK_MILLIS = 30;
    private static final long DEADLINE_MILLIS = 3_000;

    /** What happens to what an entry daemon sends to servers. */
    enum Link {
        /** It arrives. */
        SOUND,
        /** Nothing arrives, and nothing comes back. */
        SILENT,
        /** New connections are refused; one request in three finds an old connection, which works. */
        REFUSING_NEW,
        /** New connections are refused, and there are no old ones. */
        REFUSING
    }

    private record Scheduled(long atMillis, long order, Runnable action) {}

    /** A request as its caller sees it. */
    static final class Request {
        final int daemon;
        final ServiceName service;
        final long sentMillis;
        final Repeatability repeatability;
        int runs;
        long answeredMillis = -1;
        Optional<String> failure = Optional.empty();

        Request(int daemon, ServiceName service, long sentMillis, Repeatability repeatability) {
            this.daemon = daemon;
            this.service = service;
            this.sentMillis = sentMillis;
            this.repeatability = repeatability;
        }

        boolean served() {
            return answeredMillis >= 0;
        }
    }

    /** Whoever waits for the answer of a request at a daemon: a caller, or a daemon that has handed it over. */
    private record Waiting(Request request, Runnable onAnswer, java.util.function.Consumer<ForwardEffect> onFailure) {}

    private static class Node {
        final Board board;
        final ControlCycle cycle;

        Node(Board board, List<Controller> controllers) {
            this.board = board;
            this.cycle = ControlCycle.create(board, controllers);
        }

        HostId host() {
            return board.membership().self();
        }
    }

    private static final class Entry extends Node {
        final int index;
        final Map<Long, Waiting> waiting = new HashMap<>();
        final Map<ServiceName, Link> links = new HashMap<>();
        final Set<Long> cancelled = new HashSet<>();

        Entry(int index, Board board, List<Controller> controllers) {
            super(board, controllers);
            this.index = index;
        }

        Link link(ServiceName service) {
            return links.getOrDefault(service, Link.SOUND);
        }
    }

    private final List<Entry> entries = new ArrayList<>();
    private final Map<HostId, Node> nodes = new HashMap<>();
    private final Map<ServerId, ServiceName> servers = new HashMap<>();
    private final Set<ServerId> down = new HashSet<>();
    private final Map<ServerId, Long> silentUntilMillis = new HashMap<>();
    private final Map<ServerId, Integer> arrivals = new HashMap<>();
    private final PriorityQueue<Scheduled> schedule =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMillis).thenComparingLong(Scheduled::order));
    private final List<Request> requests = new ArrayList<>();
    private final Random random;
    private long nowMillis = 100_000;
    private long scheduled;
    private long tickets;
    private long sequence;
    private int mostHops;
    private boolean callersStopped;
    private final Map<HostId, Long> countedUsage = new HashMap<>();

    private CutFleet(int daemons, int serversOfEach, long seed) {
        this.random = new Random(seed);
        Board controlBoard = Board.create(Samples.settings("core-1"), 1, 3);
        Node control = new Node(controlBoard, List.of(MembershipController.create(), HelperController.create()));
        nodes.put(control.host(), control);
        for (int index = 0; index < serversOfEach; index++) {
            servers.put(ServerId.of("desk-" + index), DESK);
            servers.put(ServerId.of("archive-" + index), ARCHIVE);
        }
        for (int index = 0; index < daemons; index++) {
            entries.add(createEntry(index, control));
        }
        schedule(0, this::report);
        schedule(TICK_MILLIS, this::tick);
        for (Entry entry : entries) {
            scheduleArrival(entry);
        }
    }

    /** Returns a fleet in which callers have been served for some seconds. */
    static CutFleet running(int daemons, int serversOfEach, long seed) {
        CutFleet fleet = new CutFleet(daemons, serversOfEach, seed);
        fleet.advance(3_000);
        return fleet;
    }

    private Entry createEntry(int index, Node control) {
        ServiceDocument document = new ServiceDocument(
                1,
                List.of(
                        route("/desk/once/", Repeatability.ONCE, DESK),
                        route("/desk/safe/", Repeatability.SAFE, DESK),
                        route("/archive/safe/", Repeatability.SAFE, ARCHIVE)),
                Map.of(
                        DESK,
                        new ServiceRule(DESK, 100, Optional.empty(), Optional.empty()),
                        ARCHIVE,
                        new ServiceRule(ARCHIVE, 100, Optional.empty(), Optional.empty())),
                CallerBounds.defaults(),
                List.of(new AccountRule(ACCOUNT, Set.of(KEY), OptionalLong.empty(), true, 200, 1e9, 1e9)));
        Board board = Board.create(Samples.settings("edge-" + index), 1, 10 + index);
        Entry entry = new Entry(
                index,
                board,
                List.of(
                        MembershipController.create(),
                        RegistryController.learning(),
                        DocumentController.create(content -> Either.right(document)),
                        UsageController.create(1_000_000, 1_000_000),
                        ReachController.create(address(index)),
                        ForwardController.create(new ForwardLimits(0.2, 10, 8, 0, 0))));
        Command command = new Command.ReplaceDocument(1, Content.of("application/json", new byte[] {1}));
        CommandResult result = board.configuration().state().apply(command);
        run(entry, new ReplicationEvent.EntryApplied(0, 1, command, result));
        nodes.put(entry.host(), entry);
        run(
                entry,
                new PeerEvent.PeerConnected(
                        control.host(), control.board.membership().zone(), 1));
        run(
                control,
                new PeerEvent.PeerConnected(entry.host(), board.membership().zone(), 1));
        return entry;
    }

    private static RouteRule route(String path, Repeatability repeatability, ServiceName service) {
        return new RouteRule(
                RouteName.of(path),
                "a.example",
                path,
                repeatability,
                DEADLINE_MILLIS,
                300,
                1,
                List.of(new RouteRule.Share(service, 1)),
                2,
                false,
                false,
                400);
    }

    private static String address(int daemon) {
        return "10.0.1." + daemon + ":80";
    }

    void cut(int daemon, ServiceName service, Link link) {
        entries.get(daemon).links.put(service, link);
    }

    /** Cuts a daemon off from the servers of both services. */
    void cut(int daemon, Link link) {
        cut(daemon, DESK, link);
        cut(daemon, ARCHIVE, link);
    }

    void stopServer(String server) {
        down.add(ServerId.of(server));
    }

    /** Lets a server answer nothing for a time, after which it goes on. */
    void silence(String server, long millis) {
        silentUntilMillis.put(ServerId.of(server), nowMillis + millis);
    }

    /** Returns how many requests have arrived at a server since the last call. */
    int takeArrivals(String server) {
        return Objects.requireNonNullElse(arrivals.remove(ServerId.of(server)), 0);
    }

    private long silentMillis(ServerId server) {
        return Math.max(0, silentUntilMillis.getOrDefault(server, 0L) - nowMillis);
    }

    Reach reach(int daemon, ServiceName service) {
        return entries.get(daemon).board.handovers().reach(service);
    }

    List<Request> requests() {
        return requests;
    }

    /** Returns the largest number of daemons that one request was handed over to, one after the other. */
    int mostHops() {
        return mostHops;
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns the requests that daemons have told the others to have begun to run for the account. */
    long countedUsage() {
        return countedUsage.values().stream().mapToLong(Long::longValue).sum();
    }

    void advance(long millis) {
        long end = nowMillis + millis;
        while (!schedule.isEmpty() && schedule.peek().atMillis() <= end) {
            Scheduled next = schedule.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
        nowMillis = end;
    }

    private void schedule(long delayMillis, Runnable action) {
        schedule.add(new Scheduled(nowMillis + delayMillis, scheduled++, action));
    }

    private void tick() {
        nodes.values().forEach(node -> run(node, new TimerEvent.Tick()));
        schedule(TICK_MILLIS, this::tick);
    }

    private void report() {
        servers.forEach((server, service) -> {
            if (!down.contains(server)) {
                announce(server, service);
            }
        });
        schedule(REPORT_MILLIS, this::report);
    }

    private void announce(ServerId server, ServiceName service) {
        sequence++;
        ServerReport report = new ServerReport(
                server,
                1,
                sequence,
                service,
                "10.0.2." + server.value() + ":80",
                AvailabilityZone.of("a"),
                6,
                ServerPhase.READY,
                0,
                false,
                OptionalLong.empty(),
                ServerVersion.unstated());
        entries.forEach(entry -> run(
                entry,
                new PeerEvent.PeerMessageReceived(
                        HostId.of("core-1"), 1, new PeerMessage.ServerReports(List.of(report)))));
    }

    void stopCallers() {
        callersStopped = true;
    }

    private void scheduleArrival(Entry entry) {
        schedule(20 + random.nextInt(60), () -> {
            if (callersStopped) {
                return;
            }
            int kind = random.nextInt(3);
            ServiceName service = kind == 2 ? ARCHIVE : DESK;
            Repeatability repeatability = kind == 0 ? Repeatability.ONCE : Repeatability.SAFE;
            Request request = new Request(entry.index, service, nowMillis, repeatability);
            requests.add(request);
            String path = "/" + service + "/" + (kind == 0 ? "once" : "safe") + "/x";
            arrive(
                    entry,
                    path,
                    0,
                    DEADLINE_MILLIS,
                    new Waiting(request, () -> request.answeredMillis = nowMillis, failure -> {
                        if (failure instanceof ForwardEffect.RefuseForward refusal) {
                            request.failure =
                                    Optional.of(refusal.failure().kind().code());
                        } else {
                            request.failure = Optional.of("passed");
                        }
                    }));
            scheduleArrival(entry);
        });
    }

    private void arrive(Entry entry, String path, int hops, long deadlineMillis, Waiting waiting) {
        mostHops = Math.max(mostHops, hops);
        long ticket = ++tickets;
        entry.waiting.put(ticket, waiting);
        ForwardHead head = ForwardHead.of(
                        "id-" + ticket,
                        "a.example",
                        path,
                        Optional.of(KEY),
                        OptionalLong.of(deadlineMillis),
                        Optional.empty(),
                        Fingerprint.of("content-" + ticket))
                .handedOver(hops > 0);
        run(entry, new ForwardEvent.ForwardArrived(ticket, head, nanos()));
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void run(Node node, Event event) {
        for (Effect effect : node.cycle.run(event, nanos(), nowMillis)) {
            if (effect instanceof ForwardEffect forward && node instanceof Entry entry) {
                execute(entry, forward);
            } else if (effect instanceof PeerEffect.SendToPeer send
                    && send.message() instanceof PeerMessage.UsageCounts counts) {
                countedUsage.put(node.host(), counts.requests().getOrDefault(ACCOUNT, 0L));
            } else if (effect instanceof PeerEffect.SendToPeer send && nodes.get(send.peer()) instanceof Node to) {
                schedule(LINK_MILLIS, () -> run(to, new PeerEvent.PeerMessageReceived(node.host(), 1, send.message())));
            }
        }
    }

    private void execute(Entry entry, ForwardEffect effect) {
        switch (effect) {
            case ForwardEffect.StartForward start -> send(entry, start);
            case ForwardEffect.HandOver handOver -> handOver(entry, handOver);
            case ForwardEffect.CheckConnection check -> check(entry, check);
            case ForwardEffect.CancelForward cancel -> {
                entry.cancelled.add(cancel.ticket());
                end(entry, cancel.ticket(), 1, new ForwardOutcome.Cancelled(0, false));
                end(entry, cancel.ticket(), 2, new ForwardOutcome.Cancelled(0, false));
            }
            case ForwardEffect.RefuseForward refuse -> fail(entry, refuse);
            case ForwardEffect.BreakForward broken -> fail(entry, broken);
            case ForwardEffect.PassFailure failure -> fail(entry, failure);
            case ForwardEffect.ProbeServer probe -> {}
        }
    }

    private static void fail(Entry entry, ForwardEffect effect) {
        Waiting waiting = entry.waiting.remove(effect.ticket());
        if (waiting != null) {
            waiting.onFailure().accept(effect);
        }
    }

    private void end(Entry entry, long ticket, int attempt, ForwardOutcome outcome) {
        schedule(0, () -> run(entry, new ForwardEvent.ForwardEnded(ticket, attempt, outcome, Optional.empty())));
    }

    private boolean connects(Entry entry, ServerId server, boolean mayUseOld) {
        boolean up = !down.contains(server);
        return switch (entry.link(Objects.requireNonNull(servers.get(server)))) {
            case SOUND -> up;
            case SILENT -> false;
            case REFUSING_NEW -> up && mayUseOld && random.nextInt(3) == 0;
            case REFUSING -> false;
        };
    }

    private void send(Entry entry, ForwardEffect.StartForward start) {
        Waiting waiting = entry.waiting.get(start.ticket());
        if (waiting == null || entry.link(Objects.requireNonNull(servers.get(start.server()))) == Link.SILENT) {
            return;
        }
        if (!connects(entry, start.server(), true)) {
            schedule(
                    LINK_MILLIS,
                    () -> end(entry, start.ticket(), start.attempt(), new ForwardOutcome.NotSent(true, "refused")));
            return;
        }
        waiting.request().runs++;
        arrivals.merge(start.server(), 1, Integer::sum);
        schedule(silentMillis(start.server()) + WORK_MILLIS, () -> answer(entry, start.ticket(), start.attempt()));
    }

    private void answer(Entry entry, long ticket, int attempt) {
        if (entry.cancelled.contains(ticket)) {
            return;
        }
        Waiting waiting = entry.waiting.remove(ticket);
        run(entry, new ForwardEvent.ForwardBegan(ticket, attempt, Optional.empty()));
        end(entry, ticket, attempt, new ForwardOutcome.Completed(false));
        if (waiting != null) {
            waiting.onAnswer().run();
        }
    }

    private void handOver(Entry entry, ForwardEffect.HandOver handOver) {
        Entry helper = entries.stream()
                .filter(other -> address(other.index).equals(handOver.address()))
                .findFirst()
                .orElseThrow();
        Waiting caller = Objects.requireNonNull(entry.waiting.get(handOver.ticket()));
        String path = "/" + caller.request().service + "/"
                + (caller.request().repeatability == Repeatability.ONCE ? "once" : "safe") + "/x";
        Waiting here = new Waiting(
                caller.request(),
                () -> schedule(LINK_MILLIS, () -> answer(entry, handOver.ticket(), handOver.attempt())),
                failure -> schedule(
                        LINK_MILLIS, () -> end(entry, handOver.ticket(), handOver.attempt(), outcome(failure))));
        schedule(LINK_MILLIS, () -> arrive(helper, path, 1, Math.max(1, handOver.remainingMillis(nanos())), here));
    }

    private static ForwardOutcome outcome(ForwardEffect failure) {
        int status = failure instanceof ForwardEffect.RefuseForward refusal
                ? refusal.failure().kind().httpStatus()
                : 500;
        return status == 503 || status == 429
                ? new ForwardOutcome.Refused(status, OptionalLong.empty())
                : new ForwardOutcome.Failed(status);
    }

    private void check(Entry entry, ForwardEffect.CheckConnection check) {
        if (entry.link(Objects.requireNonNull(servers.get(check.server()))) != Link.SILENT) {
            boolean opened = connects(entry, check.server(), false);
            schedule(
                    silentMillis(check.server()) + LINK_MILLIS,
                    () -> run(entry, ForwardEvent.ConnectionChecked.of(check.server(), opened)));
        }
    }
}
