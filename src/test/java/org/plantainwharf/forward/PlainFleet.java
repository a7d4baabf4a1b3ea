package org.plantainwharf.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;

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
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.limit.AllowanceController;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.room.RoomController;
import org.plantainwharf.testing.Samples;

/**
 * Entry daemons before servers of a service without prompts, whose slots take requests in the order of arrival. Callers
 * return once after a refusal that names a time. Used by one thread on a virtual clock.
 */
final class PlainFleet {
    static final String LOOKUP = "lookup";
    static final String ORDER = "order";
    private static final ServiceName SERVICE = ServiceName.of("desk");
    private static final HostId CONTROL_HOST = HostId.of("core-1");
    private static final String KEY = "key-of-acme";
    private static final int DAEMONS = 8;
    private static final int SERVERS = 4;
    private static final int SLOTS = 6;
    private static final long DEADLINE_MILLIS = 2_000;
    private static final Map<String, Long> TARGETS = Map.of(LOOKUP, 150L, ORDER, 350L);

    private final Random random;
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<ServerId, Server> servers = new HashMap<>();
    private final Map<String, Outcomes> outcomes = new HashMap<>();
    private final PriorityQueue<Scheduled> schedule =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMicros).thenComparingLong(Scheduled::order));
    private long nowMicros = 100_000_000;
    private long counter;
    private double perSecond = 300;

    /** How the requests of one route ended. */
    static final class Outcomes {
        int asked;
        int inTarget;
        int late;
        int refused;

        double inTargetFraction() {
            return (double) inTarget / asked;
        }

        double servedFraction() {
            return (double) (inTarget + late) / asked;
        }

        @Override
        public String toString() {
            return "asked " + asked + ", in target " + inTarget + ", late " + late + ", refused " + refused;
        }
    }

    private record Scheduled(long atMicros, long order, Runnable action) {}

    private record Daemon(ControlCycle cycle, Map<Long, Request> requests) {}

    private record Request(String route, long arrivedMicros, long content, boolean returned) {}

    private record Job(Daemon daemon, ForwardEffect.StartForward start) {}

    private static final class Server {
        private final Queue<Job> waiting = new ArrayDeque<>();
        private int running;
    }

    PlainFleet(boolean sharing, long seed) {
        this.random = new Random(seed);
        for (String route : TARGETS.keySet()) {
            outcomes.put(route, new Outcomes());
        }
        for (int index = 0; index < SERVERS; index++) {
            servers.put(ServerId.of("i-" + index), new Server());
        }
        for (int index = 0; index < DAEMONS; index++) {
            daemons.add(createDaemon(index, sharing));
        }
        schedule(0, this::report);
        schedule(50_000, this::tick);
        schedule(0, this::arrive);
    }

    private static RouteRule route(String name, Repeatability repeatability, int priority) {
        return new RouteRule(
                RouteName.of(name),
                "a.example",
                "/" + name + "/",
                repeatability,
                DEADLINE_MILLIS,
                Objects.requireNonNull(TARGETS.get(name)),
                priority,
                List.of(new RouteRule.Share(SERVICE, 1)),
                1,
                false,
                false,
                0);
    }

    private Daemon createDaemon(int index, boolean sharing) {
        ServiceDocument document = new ServiceDocument(
                1,
                List.of(route(LOOKUP, Repeatability.SAFE, 0), route(ORDER, Repeatability.ONCE, 1)),
                Map.of(SERVICE, new ServiceRule(SERVICE, 400, Optional.empty(), Optional.empty())),
                CallerBounds.defaults(),
                List.of(new AccountRule(
                        AccountName.of("acme"), Set.of(KEY), OptionalLong.empty(), true, 200, 1e9, 1e9)));
        Board board = Board.create(Samples.settings("edge-" + index), 1, 7 + index);
        List<Controller> controllers = new ArrayList<>(List.of(
                RegistryController.learning(),
                DocumentController.create(content -> Either.right(document)),
                AllowanceController.create()));
        if (sharing) {
            controllers.add(RoomController.create());
        }
        controllers.add(ForwardController.create(new ForwardLimits(0.2, 10, 8, 0, 0)));
        Daemon daemon = new Daemon(ControlCycle.create(board, controllers), new HashMap<>());
        Command command = new Command.ReplaceDocument(1, Content.of("application/json", new byte[] {1}));
        run(
                daemon,
                new ReplicationEvent.EntryApplied(
                        0, 1, command, board.configuration().state().apply(command)));
        return daemon;
    }

    void setPerSecond(double rate) {
        perSecond = rate;
    }

    void resetOutcomes() {
        outcomes.replaceAll((route, before) -> new Outcomes());
    }

    Map<String, Outcomes> outcomes() {
        return outcomes;
    }

    Outcomes of(String route) {
        return Objects.requireNonNull(outcomes.get(route));
    }

    void advance(long millis) {
        long end = nowMicros + millis * 1_000;
        while (!schedule.isEmpty() && schedule.peek().atMicros() <= end) {
            Scheduled next = schedule.poll();
            nowMicros = next.atMicros();
            next.action().run();
        }
        nowMicros = end;
    }

    private void schedule(long delayMicros, Runnable action) {
        schedule.add(new Scheduled(nowMicros + delayMicros, counter++, action));
    }

    private void tick() {
        daemons.forEach(daemon -> run(daemon, new TimerEvent.Tick()));
        schedule(50_000, this::tick);
    }

    private void report() {
        List<ServerReport> reports = servers.keySet().stream()
                .sorted(Comparator.comparing(ServerId::value))
                .map(server -> new ServerReport(
                        server,
                        1,
                        counter++,
                        SERVICE,
                        "10.0.0." + server.value().substring(2) + ":80",
                        AvailabilityZone.of("zone-a"),
                        SLOTS,
                        ServerPhase.READY,
                        0,
                        false,
                        OptionalLong.empty(),
                        ServerVersion.unstated()))
                .toList();
        PeerMessage grant = new PeerMessage.AllowanceGrant(1, 2_000, 1.0 / DAEMONS, Map.of(), Map.of());
        daemons.forEach(daemon -> {
            run(daemon, new PeerEvent.PeerMessageReceived(CONTROL_HOST, 1, new PeerMessage.ServerReports(reports)));
            run(daemon, new PeerEvent.PeerMessageReceived(CONTROL_HOST, 1, grant));
        });
        schedule(1_000_000, this::report);
    }

    private void arrive() {
        Request request = new Request(random.nextBoolean() ? LOOKUP : ORDER, nowMicros, counter++, false);
        of(request.route()).asked++;
        send(request);
        schedule((long) (-Math.log(1 - random.nextDouble()) * 1e6 / perSecond), this::arrive);
    }

    private void send(Request request) {
        Daemon daemon = daemons.get(random.nextInt(DAEMONS));
        long ticket = counter++;
        daemon.requests().put(ticket, request);
        run(
                daemon,
                new ForwardEvent.ForwardArrived(
                        ticket,
                        ForwardHead.of(
                                "id-" + ticket,
                                "a.example",
                                "/" + request.route() + "/x",
                                Optional.of(KEY),
                                OptionalLong.of(DEADLINE_MILLIS - (nowMicros - request.arrivedMicros()) / 1_000),
                                Optional.empty(),
                                Fingerprint.of("content-" + request.content())),
                        nowMicros * 1_000));
    }

    private void run(Daemon daemon, Event event) {
        for (Effect effect : daemon.cycle().run(event, nowMicros * 1_000, nowMicros / 1_000)) {
            if (effect instanceof ForwardEffect.StartForward start) {
                schedule(1_000, () -> reach(new Job(daemon, start)));
            } else if (effect instanceof ForwardEffect.RefuseForward refuse) {
                refuse(daemon, refuse);
            }
        }
    }

    private void refuse(Daemon daemon, ForwardEffect.RefuseForward refuse) {
        Request request = daemon.requests().remove(refuse.ticket());
        if (request == null) {
            return;
        }
        if (request.returned() || !refuse.failure().kind().retryable()) {
            of(request.route()).refused++;
            return;
        }
        long waitMicros = refuse.failure()
                .retryAfter()
                .map(wait -> wait.toMillis() * 1_000)
                .orElse(100_000L);
        schedule(
                waitMicros, () -> send(new Request(request.route(), request.arrivedMicros(), request.content(), true)));
    }

    private void reach(Job job) {
        Server server = Objects.requireNonNull(servers.get(job.start().server()));
        server.waiting.add(job);
        begin(server);
    }

    private void begin(Server server) {
        while (server.running < SLOTS && !server.waiting.isEmpty()) {
            Job job = server.waiting.remove();
            server.running++;
            schedule((long) (21_000 + 50_000 * random.nextDouble()), () -> finish(server, job));
        }
    }

    private void finish(Server server, Job job) {
        server.running--;
        Request request = job.daemon().requests().remove(job.start().ticket());
        if (request != null) {
            boolean inTarget =
                    nowMicros - request.arrivedMicros() <= 1_000 * Objects.requireNonNull(TARGETS.get(request.route()));
            of(request.route()).inTarget += inTarget ? 1 : 0;
            of(request.route()).late += inTarget ? 0 : 1;
        }
        ServerLoad load = new ServerLoad(server.running, server.waiting.size(), SLOTS, 100);
        run(
                job.daemon(),
                new ForwardEvent.ForwardBegan(
                        job.start().ticket(),
                        job.start().attempt(),
                        Optional.of(new ServerStatus(new LoadReport.Known(load, false), OptionalDouble.empty()))));
        run(
                job.daemon(),
                new ForwardEvent.ForwardEnded(
                        job.start().ticket(),
                        job.start().attempt(),
                        new ForwardOutcome.Completed(false),
                        Optional.empty()));
        begin(server);
    }
}
