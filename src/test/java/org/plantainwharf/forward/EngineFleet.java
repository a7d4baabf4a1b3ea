package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.duty.DemandController;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.effect.LogEffect;
import org.plantainwharf.effect.PeerEffect;
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
import org.plantainwharf.keptpart.KeptPartController;
import org.plantainwharf.limit.AllowanceController;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServiceDemand;
import org.plantainwharf.observation.ObservationController;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.room.RoomController;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.testing.Samples;

/**
 * Entry daemons, each with the real forward controller, in front of simulated engines on a virtual clock. Callers arrive
 * at random, return once after a refusal that names a time, and give up at their deadline. Used by one thread.
 */
final class EngineFleet {
    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final String KEY = "key-of-acme";
    private static final PeerMessageCodec CODEC = PeerMessageCodec.create();
    private static final HostId CONTROL_HOST = HostId.of("core-1");
    private static final long TICK_MICROS = 50_000;
    private static final long REPORT_MICROS = 1_000_000;
    private static final long NETWORK_MICROS = 1_000;
    private static final long WORK_TIME_PERIOD_MICROS = 600_000;
    private static final double OUTPUT_TOKEN_WEIGHT = 10;
    private static final double FIXED_WORTH = 0.3;
    private static final double LATE_WORTH = 0.1;
    private static final int RETURNS_AT_ONCE = 5;

    private final Shape shape;
    private final Random random;
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<ServerId, SimulatedEngine> engines = new HashMap<>();
    private final Map<ServerId, Integer> zones = new HashMap<>();
    private final Map<ServerId, Long> starts = new HashMap<>();
    private final Map<HostId, Node> nodes = new LinkedHashMap<>();
    private final Map<HostId, Long> receivedBytes = new HashMap<>();
    private final PartUses uses = new PartUses();
    private final List<Double> answerMillis = new ArrayList<>();
    private double unevenness;
    private int unevennessSamples;
    private double slowProbability = 0.15;
    private List<Daemon> arrivalDaemons = daemons;
    private final PriorityQueue<Scheduled> schedule =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMicros).thenComparingLong(Scheduled::order));
    private final Map<String, Outcomes> outcomes = new HashMap<>();
    private long nowMicros = 100_000_000;
    private long scheduled;
    private final List<LogEffect> roomLog = new ArrayList<>();
    private long tickets;
    private long requests;
    private long sequence;
    private int nextRoundRobin;
    private double load = 1;
    private final double[] accountLoads;
    private final Map<String, Double> kindLoads = new HashMap<>();
    private final List<Outcomes> accountOutcomes = new ArrayList<>();
    private boolean returnsAtOnce;
    private boolean leaderLost;
    private boolean leavesEarly;

    /**
     * Sizes of the fleet. Immutable.
     *
     * @param accounts how much each account asks for, relative to the others
     * @param controls number of control daemons that pass on what daemons have seen; 0 if daemons share nothing
     * @param zoned whether daemons are in the zones of the engines, and not all in another one
     */
    record Shape(
            int daemons,
            int engines,
            int zones,
            double[] speeds,
            double promptTokensPerMilli,
            Policy policy,
            Sharing sharing,
            int slots,
            boolean preempting,
            double[] accounts,
            int controls,
            long memoryTokens,
            boolean zoned) {
        Shape(int daemons, int engines, int zones, double[] speeds, double promptTokensPerMilli, Policy policy) {
            this(
                    daemons,
                    engines,
                    zones,
                    speeds,
                    promptTokensPerMilli,
                    policy,
                    Sharing.ALL,
                    64,
                    false,
                    new double[] {1},
                    0,
                    232_000,
                    false);
        }

        /** Returns this shape with accounts that share room, and engines that preempt less urgent requests. */
        Shape withRoom(Sharing newSharing, int newSlots, double[] newAccounts) {
            return new Shape(
                    daemons,
                    engines,
                    zones,
                    speeds,
                    promptTokensPerMilli,
                    policy,
                    newSharing,
                    newSlots,
                    true,
                    newAccounts,
                    controls,
                    memoryTokens,
                    zoned);
        }

        /** Returns this shape with control daemons and engines of the new deployments, where no room is shared. */
        Shape sharing(int newControls) {
            return new Shape(
                    daemons,
                    engines,
                    zones,
                    speeds,
                    promptTokensPerMilli,
                    policy,
                    Sharing.NONE,
                    14,
                    false,
                    accounts,
                    newControls,
                    424_000,
                    true);
        }
    }

    /** Which daemons share the room of the engines. */
    enum Sharing {
        /** None: each looks at the queue of the selected engine only. */
        NONE,
        /** Each daemon by itself, by its part of the room. */
        OWN,
        /** All daemons, by the grants of a leader. */
        ALL
    }

    /** Chooses engines. */
    sealed interface Policy {
        /** The forward controller. */
        record Product() implements Policy {}

        /** Each daemon in turn. */
        record RoundRobin() implements Policy {}

        /** The better of two engines drawn at random, by the daemon's own requests and the load reported last. */
        record TwoChoices() implements Policy {}

        /** The engine with the least load reported last. */
        record LeastReported() implements Policy {}
    }

    /**
     * Kind of request. Immutable.
     *
     * @param things number of distinct second parts
     */
    record Kind(
            String name,
            int priority,
            double perSecond,
            double sharedTokens,
            double thingTokens,
            int things,
            double ownTokens,
            double outputTokens,
            long targetMillis,
            long deadlineMillis,
            double worth) {
        /** Returns what an answer within the target earns: in proportion to the size, and a part for any size. */
        private double worth(PromptShape prompt) {
            double mean = sharedTokens + thingTokens + ownTokens + OUTPUT_TOKEN_WEIGHT * outputTokens;
            double size = prompt.inputTokens() + OUTPUT_TOKEN_WEIGHT * prompt.outputTokens();
            return worth * Math.min(4, FIXED_WORTH + (1 - FIXED_WORTH) * size / mean);
        }
    }

    /** How the requests of one kind ended. */
    static final class Outcomes {
        int asked;
        int inTarget;
        int late;
        int refused;
        int failed;
        double owed;
        double earned;
        double owedLarge;
        double earnedLarge;
        int askedLarge;
        int servedLarge;

        @Override
        public String toString() {
            return "asked " + asked + ", in target " + inTarget + ", late " + late + ", refused " + refused
                    + ", failed " + failed
                    + String.format(", worth %.2f, large %d of %d", earned / owed, servedLarge, askedLarge);
        }
    }

    private record Scheduled(long atMicros, long order, Runnable action) {}

    /** A daemon that receives messages. */
    private static class Node {
        final Board board;
        final ControlCycle cycle;

        Node(Board board, ControlCycle cycle) {
            this.board = board;
            this.cycle = cycle;
        }

        HostId host() {
            return board.membership().self();
        }
    }

    private static final class Daemon extends Node {
        final int index;
        final Map<Long, Request> requests = new HashMap<>();
        final Map<ServerId, ServerLoad> reported = new HashMap<>();
        final Map<ServerId, Integer> own = new HashMap<>();
        double reportedPromptTokens;

        Daemon(int index, Board board, ControlCycle cycle) {
            super(board, cycle);
            this.index = index;
        }
    }

    private static final class Request {
        final Kind kind;
        final int account;
        final PromptShape prompt;
        final long arrivedMicros;
        final long content;
        int returns;
        boolean answered;

        Request(Kind kind, int account, PromptShape prompt, long arrivedMicros, long content) {
            this.kind = kind;
            this.account = account;
            this.prompt = prompt;
            this.arrivedMicros = arrivedMicros;
            this.content = content;
        }

        /** Returns whether the prompt is about among the largest tenth of its kind. */
        boolean large() {
            return prompt.inputTokens() > 2 * (kind.sharedTokens() + kind.thingTokens() + kind.ownTokens());
        }
    }

    EngineFleet(Shape shape, List<Kind> kinds, long seed) {
        this.shape = shape;
        this.random = new Random(seed);
        this.accountLoads = shape.accounts().clone();
        for (int account = 0; account < accountLoads.length; account++) {
            accountOutcomes.add(new Outcomes());
        }
        if (shape.sharing() == Sharing.ALL && shape.controls() == 0) {
            nodes.put(CONTROL_HOST, createLeader());
        }
        for (int index = 0; index < shape.controls(); index++) {
            Board board = Board.create(settings("core-" + (index + 1), index), 1, 1_000 + index);
            nodes.put(
                    board.membership().self(),
                    new Node(
                            board,
                            ControlCycle.create(
                                    board,
                                    List.of(
                                            MembershipController.create(),
                                            ObservationController.ofControlDaemon(),
                                            KeptPartController.create()))));
        }
        for (Node first : nodes.values()) {
            for (Node second : nodes.values()) {
                if (first != second) {
                    run(
                            first,
                            new PeerEvent.PeerConnected(
                                    second.host(), second.board.membership().zone(), 1));
                    run(
                            first,
                            new PeerEvent.PeerMessageReceived(second.host(), 1, new PeerMessage.KnownPeers(Map.of())));
                }
            }
        }
        for (int index = 0; index < shape.daemons(); index++) {
            daemons.add(createDaemon(index, kinds));
        }
        for (int index = 0; index < shape.engines(); index++) {
            addEngine("i-" + index, index % shape.zones(), shape.speeds()[index % shape.speeds().length]);
        }
        for (Kind kind : kinds) {
            outcomes.put(kind.name(), new Outcomes());
            scheduleArrival(kind);
        }
        schedule(TICK_MICROS, this::tick);
        schedule(0, this::report);
        schedule(0, this::changeWorkTimes);
    }

    private Daemon createDaemon(int index, List<Kind> kinds) {
        ServiceDocument document = new ServiceDocument(
                1,
                kinds.stream()
                        .map(kind -> new RouteRule(
                                RouteName.of(kind.name()),
                                "a.example",
                                "/" + kind.name() + "/",
                                Repeatability.STREAM,
                                kind.deadlineMillis(),
                                kind.targetMillis(),
                                kind.priority(),
                                List.of(new RouteRule.Share(SERVICE, 1)),
                                1,
                                false,
                                false,
                                400))
                        .toList(),
                Map.of(
                        SERVICE,
                        new ServiceRule(
                                SERVICE,
                                400,
                                Optional.of(new ServiceRule.Engine(shape.slots(), shape.memoryTokens())),
                                Optional.empty())),
                CallerBounds.defaults(),
                IntStream.range(0, shape.accounts().length)
                        .mapToObj(account -> new AccountRule(
                                AccountName.of("account-" + account),
                                Set.of(KEY + account),
                                OptionalLong.empty(),
                                true,
                                200,
                                1e9,
                                1e9))
                        .toList());
        Board board = Board.create(settings("edge-" + index, index), 1, 7 + index);
        List<Controller> controllers = new ArrayList<>(List.of(
                MembershipController.create(),
                RegistryController.learning(),
                DocumentController.create(content -> Either.right(document)),
                AllowanceController.create()));
        if (shape.sharing() != Sharing.NONE) {
            controllers.add(RoomController.create());
        }
        controllers.add(ObservationController.ofEntryDaemon());
        controllers.add(KeptPartController.create());
        controllers.add(ForwardController.create(new ForwardLimits(0.2, 10, 8, 0, 0)));
        controllers.add(DemandController.create());
        ControlCycle cycle = ControlCycle.create(board, controllers);
        Daemon daemon = new Daemon(index, board, cycle);
        Command command = new Command.ReplaceDocument(1, Content.of("application/json", new byte[] {1}));
        CommandResult result = board.configuration().state().apply(command);
        run(daemon, new ReplicationEvent.EntryApplied(0, 1, command, result));
        for (Node node : List.copyOf(nodes.values())) {
            if (!(node instanceof Daemon)) {
                link(daemon, node);
            }
        }
        nodes.put(daemon.host(), daemon);
        if (!nodes.containsKey(CONTROL_HOST)) {
            run(daemon, new PeerEvent.PeerConnected(CONTROL_HOST, AvailabilityZone.of("zone-0"), 1));
        }
        return daemon;
    }

    private Node createLeader() {
        Board board = Board.create(Samples.settings(CONTROL_HOST.value()), 1, 5);
        board.consensus()
                .put(new GroupStatus(0, Optional.of(CONTROL_HOST), true, 1, 1, 1, Long.MAX_VALUE, nanos(), true));
        return new Node(
                board, ControlCycle.create(board, List.of(MembershipController.create(), RoomController.create())));
    }

    private Settings settings(String host, int index) {
        Settings sample = Samples.settings(host);
        if (!shape.zoned()) {
            return sample;
        }
        return new Settings(
                sample.host(),
                AvailabilityZone.of("zone-" + index % shape.zones()),
                sample.hostClass(),
                sample.callerAddress(),
                sample.operatorAddress(),
                sample.peerAddress(),
                sample.dataFolder(),
                sample.hosts(),
                sample.recordGroups(),
                sample.timings(),
                sample.bounds());
    }

    private void link(Node first, Node second) {
        run(
                first,
                new PeerEvent.PeerConnected(
                        second.host(), second.board.membership().zone(), 1));
        run(
                second,
                new PeerEvent.PeerConnected(
                        first.host(), first.board.membership().zone(), 1));
    }

    /** Stops an engine and starts it again at once, with nothing kept. */
    void restartEngine(String name) {
        stopEngine(name);
        ServerId server = ServerId.of(name);
        starts.merge(server, 2L, (old, one) -> old + 1);
        addEngine(name, Objects.requireNonNull(zones.get(server)), 1);
        announce(server, ServerPhase.READY);
    }

    void addEngine(String name, int zone, double speed) {
        SimulatedEngine engine = new SimulatedEngine(
                new SimulatedEngine.Traits(
                        speed,
                        shape.promptTokensPerMilli(),
                        shape.slots(),
                        134,
                        shape.memoryTokens(),
                        shape.preempting()),
                uses);
        engines.put(ServerId.of(name), engine);
        zones.put(ServerId.of(name), zone);
    }

    /** Stops an engine that has announced that it is leaving; its requests are lost. */
    void stopEngine(String name) {
        SimulatedEngine engine = Objects.requireNonNull(engines.remove(ServerId.of(name)));
        announce(ServerId.of(name), ServerPhase.GONE);
        engine.stop().forEach(job -> {
            Daemon daemon = daemons.get(job.owner());
            Request request = daemon.requests.get(job.ticket());
            run(
                    daemon,
                    new ForwardEvent.ForwardEnded(
                            job.ticket(),
                            1,
                            new ForwardOutcome.Broken(request != null && request.answered, true, "reset"),
                            Optional.empty()));
        });
    }

    /** Sets the fraction of machines on which work takes two and a half times as long, drawn anew every 600 ms. */
    void setSlowProbability(double probability) {
        slowProbability = probability;
    }

    /** Sends all callers to the daemons of one zone from now on. */
    void moveArrivalsToZone(int zone) {
        arrivalDaemons = daemons.stream()
                .filter(daemon -> daemon.index % shape.zones() == zone)
                .toList();
    }

    void setLoad(double newLoad) {
        load = newLoad;
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
        schedule.add(new Scheduled(nowMicros + delayMicros, scheduled++, action));
    }

    private void tick() {
        double[] loads = engines.values().stream()
                .map(SimulatedEngine::load)
                .mapToDouble(reported -> reported.running() + reported.waiting())
                .toArray();
        double mean = DoubleStream.of(loads).average().orElse(0);
        if (mean > 0) {
            double variance = DoubleStream.of(loads)
                    .map(one -> (one - mean) * (one - mean))
                    .average()
                    .orElse(0);
            unevenness += Math.sqrt(variance) / mean;
            unevennessSamples++;
        }
        daemons.forEach(daemon -> run(daemon, new TimerEvent.Tick()));
        nodes.values().stream()
                .filter(node -> !(node instanceof Daemon))
                .forEach(control -> run(control, new TimerEvent.Tick()));
        schedule(TICK_MICROS, this::tick);
    }

    private void report() {
        engines.keySet().forEach(server -> announce(server, ServerPhase.READY));
        PeerMessage grant = new PeerMessage.AllowanceGrant(1, 2_000, 1.0 / shape.daemons(), Map.of(), Map.of());
        daemons.forEach(daemon -> run(daemon, new PeerEvent.PeerMessageReceived(CONTROL_HOST, 1, grant)));
        schedule(REPORT_MICROS, this::report);
    }

    private void announce(ServerId server, ServerPhase phase) {
        sequence++;
        ServerReport report = new ServerReport(
                server,
                starts.getOrDefault(server, 1L),
                sequence,
                SERVICE,
                "10.0.0." + server.value().substring(2) + ":80",
                AvailabilityZone.of("zone-" + zones.get(server)),
                shape.slots(),
                phase,
                0,
                true,
                OptionalLong.empty(),
                ServerVersion.unstated());
        daemons.forEach(daemon -> run(
                daemon,
                new PeerEvent.PeerMessageReceived(CONTROL_HOST, 1, new PeerMessage.ServerReports(List.of(report)))));
    }

    private void changeWorkTimes() {
        engines.values().forEach(engine -> engine.setWorkTimeFactor(random.nextDouble() < slowProbability ? 2.5 : 1));
        schedule(WORK_TIME_PERIOD_MICROS, this::changeWorkTimes);
    }

    private void scheduleArrival(Kind kind) {
        double meanMicros = 1e6 / (kind.perSecond() * load * kindLoads.getOrDefault(kind.name(), 1.0) * accountsLoad());
        schedule((long) (-Math.log(1 - random.nextDouble()) * meanMicros), () -> {
            Request request = new Request(kind, drawAccount(), prompt(kind), nowMicros, requests++);
            outcomesOf(request).forEach(of -> {
                of.asked++;
                of.owed += kind.worth(request.prompt);
                of.owedLarge += request.large() ? kind.worth(request.prompt) : 0;
                of.askedLarge += request.large() ? 1 : 0;
            });
            arrive(request, drawDaemon());
            scheduleArrival(kind);
        });
    }

    private double accountsLoad() {
        return Arrays.stream(accountLoads).sum()
                / Arrays.stream(shape.accounts()).sum();
    }

    private int drawAccount() {
        if (accountLoads.length == 1) {
            return 0;
        }
        double left = random.nextDouble() * Arrays.stream(accountLoads).sum();
        int account = 0;
        while (account < accountLoads.length - 1 && left >= accountLoads[account]) {
            left -= accountLoads[account];
            account++;
        }
        return account;
    }

    private int drawDaemon() {
        return arrivalDaemons.get(random.nextInt(arrivalDaemons.size())).index;
    }

    private PromptShape prompt(Kind kind) {
        long shared = Math.round(kind.sharedTokens());
        int thing = random.nextInt(kind.things());
        Random ofThing = new Random(thing * 31L + kind.name().hashCode());
        long thingTokens = Math.max(16, Math.round(kind.thingTokens() * logNormal(ofThing, 0.7)));
        long own = Math.max(16, Math.min(40_000, Math.round(kind.ownTokens() * logNormal(random, 1.0))));
        long output = Math.max(1, Math.min(700, Math.round(kind.outputTokens() * logNormal(random, 1.0))));
        return new PromptShape(
                "m",
                shared + thingTokens + own,
                output,
                List.of(
                        new PromptShape.Part(kind.name(), shared),
                        new PromptShape.Part(kind.name() + thing, thingTokens),
                        new PromptShape.Part("own" + tickets + "/" + nowMicros, own)));
    }

    /** Returns a factor with the mean 1. */
    private static double logNormal(Random source, double spread) {
        return Math.exp(spread * source.nextGaussian() - spread * spread / 2);
    }

    private void arrive(Request request, int daemonIndex) {
        Daemon daemon = daemons.get(daemonIndex);
        long leftMillis = request.kind.deadlineMillis() - (nowMicros - request.arrivedMicros) / 1_000;
        if (leftMillis <= 0) {
            outcomesOf(request).forEach(of -> of.failed++);
            return;
        }
        tickets++;
        long ticket = tickets;
        daemon.requests.put(ticket, request);
        if (leavesEarly) {
            schedule(1_000 * request.kind.targetMillis(), () -> leaveEarly(daemon, ticket, request));
        }
        switch (shape.policy()) {
            case Policy.Product product ->
                run(
                        daemon,
                        new ForwardEvent.ForwardArrived(
                                ticket,
                                ForwardHead.of(
                                        "id-" + ticket,
                                        "a.example",
                                        "/" + request.kind.name() + "/x",
                                        Optional.of(KEY + request.account),
                                        OptionalLong.of(leftMillis),
                                        Optional.of(request.prompt),
                                        Fingerprint.of("content-" + request.content)),
                                nanos()));
            case Policy.RoundRobin roundRobin ->
                send(daemon, ticket, 1, sortedEngines().get(nextRoundRobin++ % engines.size()), leftMillis);
            case Policy.LeastReported leastReported ->
                send(daemon, ticket, 1, leastLoaded(daemon, sortedEngines(), false), leftMillis);
            case Policy.TwoChoices twoChoices -> {
                List<ServerId> all = sortedEngines();
                List<ServerId> two = List.of(all.get(random.nextInt(all.size())), all.get(random.nextInt(all.size())));
                send(daemon, ticket, 1, leastLoaded(daemon, two, true), leftMillis);
            }
        }
    }

    private List<ServerId> sortedEngines() {
        return engines.keySet().stream()
                .sorted(Comparator.comparing(ServerId::value))
                .toList();
    }

    private ServerId leastLoaded(Daemon daemon, List<ServerId> choices, boolean withOwn) {
        return choices.stream()
                .min(Comparator.comparingInt(server -> {
                    ServerLoad reported =
                            daemon.reported.getOrDefault(server, new ServerLoad(0, 0, shape.slots(), 100));
                    return reported.running() + reported.waiting() + (withOwn ? daemon.own.getOrDefault(server, 0) : 0);
                }))
                .orElseThrow();
    }

    private long nanos() {
        return TimeUnit.MICROSECONDS.toNanos(nowMicros);
    }

    private void run(Node node, Event event) {
        for (Effect effect : node.cycle.run(event, nanos(), nowMicros / 1_000)) {
            if (effect instanceof ForwardEffect forward && node instanceof Daemon daemon) {
                execute(daemon, forward);
            } else if (effect instanceof PeerEffect.SendToPeer send) {
                deliver(node, send);
            } else if (effect instanceof LogEffect log
                    && node instanceof Daemon daemon
                    && daemon.index == 0
                    && log.event().startsWith("room_")) {
                roomLog.add(log);
            }
        }
    }

    private void deliver(Node from, PeerEffect.SendToPeer send) {
        if (from instanceof Daemon daemon
                && send.message() instanceof PeerMessage.DemandReport report
                && report.demands().get(SERVICE) instanceof ServiceDemand demand) {
            daemon.reportedPromptTokens = demand.promptTokensPerSecond();
        }
        boolean shared = send.message() instanceof PeerMessage.ServerObservations
                || send.message() instanceof PeerMessage.KeptParts;
        boolean room =
                send.message() instanceof PeerMessage.RoomReport || send.message() instanceof PeerMessage.RoomGrant;
        boolean lost =
                leaderLost && (from.host().equals(CONTROL_HOST) || send.peer().equals(CONTROL_HOST));
        Node to = nodes.get(send.peer());
        if (to != null && !lost && (shared || room || send.message() instanceof PeerMessage.Heartbeat)) {
            if (shared) {
                receivedBytes.merge(to.host(), (long) CODEC.encode(send.message()).length, Long::sum);
            }
            schedule(NETWORK_MICROS, () -> run(to, new PeerEvent.PeerMessageReceived(from.host(), 1, send.message())));
        }
    }

    private void execute(Daemon daemon, ForwardEffect effect) {
        switch (effect) {
            case ForwardEffect.StartForward start ->
                send(daemon, start.ticket(), start.attempt(), start.server(), start.remainingMillis(nanos()));
            case ForwardEffect.CancelForward cancel -> {
                engines.values().forEach(engine -> engine.cancel(cancel.ticket(), daemon.index));
                run(
                        daemon,
                        new ForwardEvent.ForwardEnded(
                                cancel.ticket(), 1, new ForwardOutcome.Cancelled(0, false), Optional.empty()));
            }
            case ForwardEffect.RefuseForward refuse -> refuse(daemon, refuse);
            case ForwardEffect.BreakForward broken -> end(daemon, broken.ticket(), false);
            case ForwardEffect.PassFailure failure -> end(daemon, failure.ticket(), false);
            case ForwardEffect.ProbeServer probe -> {}
            case ForwardEffect.CheckConnection check -> {}
            case ForwardEffect.HandOver handOver -> throw new AssertionError("no other entry daemon is known");
        }
    }

    private void refuse(Daemon daemon, ForwardEffect.RefuseForward refuse) {
        Request request = daemon.requests.remove(refuse.ticket());
        if (request == null) {
            return;
        }
        boolean promise = refuse.failure().kind().httpStatus() == 503
                || refuse.failure().kind().httpStatus() == 429;
        boolean returns = refuse.failure().kind().retryable() || returnsAtOnce;
        if (promise && returns && request.returns < (returnsAtOnce ? RETURNS_AT_ONCE : 1)) {
            request.returns++;
            long waitMicros = refuse.failure()
                    .retryAfter()
                    .map(wait -> wait.toMillis() * 1_000)
                    .orElse(100_000L);
            schedule(returnsAtOnce ? NETWORK_MICROS : waitMicros, () -> arrive(request, drawDaemon()));
        } else if (promise) {
            outcomesOf(request).forEach(of -> of.refused++);
        } else {
            outcomesOf(request).forEach(of -> of.failed++);
        }
    }

    private void send(Daemon daemon, long ticket, int attempt, ServerId server, long leftMillis) {
        Request request = Objects.requireNonNull(daemon.requests.get(ticket));
        daemon.own.merge(server, 1, Integer::sum);
        long deadline = nowMicros + leftMillis * 1_000;
        schedule(NETWORK_MICROS, () -> {
            SimulatedEngine engine = engines.get(server);
            boolean accepted = engine != null
                    && engine.add(new SimulatedEngine.Job(
                            ticket,
                            daemon.index,
                            request.kind.priority(),
                            request.prompt,
                            deadline,
                            new SimulatedEngine.Listener() {
                                @Override
                                public void onFirstToken() {
                                    EngineFleet.this.onFirstToken(daemon, ticket, attempt, server);
                                }

                                @Override
                                public void onEnd(boolean complete) {
                                    EngineFleet.this.onEnd(daemon, ticket, attempt, server, complete);
                                }
                            }));
            if (engine != null && accepted) {
                step(engine);
            } else {
                daemon.own.merge(server, -1, Integer::sum);
                if (shape.policy() instanceof Policy.Product) {
                    run(
                            daemon,
                            new ForwardEvent.ForwardEnded(
                                    ticket,
                                    attempt,
                                    new ForwardOutcome.Refused(503, OptionalLong.empty()),
                                    Optional.empty()));
                } else {
                    end(daemon, ticket, false);
                }
            }
        });
    }

    private void step(SimulatedEngine engine) {
        long micros = engine.startStep(nowMicros);
        if (micros > 0) {
            schedule(micros, () -> {
                engine.endStep();
                step(engine);
            });
        }
    }

    private void onFirstToken(Daemon daemon, long ticket, int attempt, ServerId server) {
        Request request = daemon.requests.get(ticket);
        if (request == null) {
            return;
        }
        request.answered = true;
        double millis = (nowMicros - request.arrivedMicros) / 1e3;
        answerMillis.add(millis);
        boolean inTarget = millis <= request.kind.targetMillis();
        double earned = (inTarget ? 1 : LATE_WORTH) * request.kind.worth(request.prompt);
        outcomesOf(request).forEach(of -> {
            of.inTarget += inTarget ? 1 : 0;
            of.late += inTarget ? 0 : 1;
            of.earned += earned;
            of.earnedLarge += request.large() ? earned : 0;
            of.servedLarge += request.large() ? 1 : 0;
        });
        ServerLoad reported = Objects.requireNonNull(engines.get(server)).load();
        daemon.reported.put(server, reported);
        if (shape.policy() instanceof Policy.Product) {
            run(
                    daemon,
                    new ForwardEvent.ForwardBegan(
                            ticket,
                            attempt,
                            Optional.of(
                                    new ServerStatus(new LoadReport.Known(reported, false), OptionalDouble.empty()))));
        }
    }

    private void onEnd(Daemon daemon, long ticket, int attempt, ServerId server, boolean complete) {
        daemon.own.merge(server, -1, Integer::sum);
        Request request = daemon.requests.get(ticket);
        if (request != null && !complete && request.answered) {
            // The caller does not get the whole answer.
            outcomesOf(request).forEach(of -> {
                of.failed++;
                of.late--;
                of.earned -= LATE_WORTH * request.kind.worth(request.prompt);
            });
        }
        if (shape.policy() instanceof Policy.Product) {
            run(
                    daemon,
                    new ForwardEvent.ForwardEnded(
                            ticket,
                            attempt,
                            complete ? new ForwardOutcome.Completed(false) : new ForwardOutcome.Failed(504),
                            Optional.empty()));
        }
        if (request != null) {
            end(daemon, ticket, complete || request.answered);
        }
    }

    private void end(Daemon daemon, long ticket, boolean counted) {
        Request request = daemon.requests.remove(ticket);
        if (request != null && !counted && !request.answered) {
            outcomesOf(request).forEach(of -> of.failed++);
        }
    }

    /** Returns the prompt tokens per second that all daemons together report as their demand. */
    double reportedPromptTokens() {
        return daemons.stream()
                .mapToDouble(daemon -> daemon.reportedPromptTokens)
                .sum();
    }

    private List<Outcomes> outcomesOf(Request request) {
        return List.of(Objects.requireNonNull(outcomes.get(request.kind.name())), accountOutcomes.get(request.account));
    }

    /** Returns the load of every engine. */
    List<ServerLoad> loads() {
        return engines.values().stream().map(SimulatedEngine::load).toList();
    }

    /** Returns what the first daemon logged about room. */
    List<LogEffect> roomLog() {
        return roomLog;
    }

    /** Returns the outcomes of each account. */
    List<Outcomes> accountOutcomes() {
        return accountOutcomes;
    }

    /** Forgets what was counted so far. */
    void resetOutcomes() {
        outcomes.replaceAll((kind, before) -> new Outcomes());
        accountOutcomes.replaceAll(before -> new Outcomes());
    }

    /** Multiplies what one account asks for. */
    void setAccountLoad(int account, double factor) {
        accountLoads[account] = factor * shape.accounts()[account];
    }

    /** Multiplies what is asked for of one kind. */
    void setKindLoad(String kind, double factor) {
        kindLoads.put(kind, factor);
    }

    /** Sends all callers to some of the daemons. */
    void setEntryDaemons(int first, int number) {
        arrivalDaemons = daemons.subList(first, first + number);
    }

    /** Lets refused callers return several times without waiting. */
    void setReturnsAtOnce() {
        returnsAtOnce = true;
    }

    /** Returns a quantile of the times to the start of an answer, returns included, in milliseconds. */
    double answerMillis(double quantile) {
        List<Double> sorted = answerMillis.stream().sorted().toList();
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    double averageAnswerMillis() {
        return answerMillis.stream().mapToDouble(millis -> millis).average().orElseThrow();
    }

    /** Returns the standard deviation of the requests at an engine over their mean, averaged over time. */
    double unevenness() {
        return unevenness / unevennessSamples;
    }

    PartUses uses() {
        return uses;
    }

    /** Returns the most bytes of shared knowledge that an entry daemon received. */
    long mostReceivedBytes() {
        return daemons.stream()
                .mapToLong(daemon -> receivedBytes.getOrDefault(daemon.host(), 0L))
                .max()
                .orElse(0);
    }

    /** Lets callers leave after their target, if no answer has begun. */
    void setLeavesEarly() {
        leavesEarly = true;
    }

    private void leaveEarly(Daemon daemon, long ticket, Request request) {
        if (daemon.requests.get(ticket) == request && !request.answered) {
            daemon.requests.remove(ticket);
            outcomesOf(request).forEach(of -> of.failed++);
            run(daemon, new ForwardEvent.ForwardLeft(ticket));
        }
    }

    /** Loses or restores the leader that shares the room. */
    void setLeaderLost(boolean lost) {
        leaderLost = lost;
    }

    Map<String, Outcomes> outcomes() {
        return outcomes;
    }

    /** Returns what was earned over what would be earned if every request were answered within its target. */
    double worthShare() {
        return outcomes.values().stream().mapToDouble(ofKind -> ofKind.earned).sum()
                / outcomes.values().stream().mapToDouble(ofKind -> ofKind.owed).sum();
    }
}
