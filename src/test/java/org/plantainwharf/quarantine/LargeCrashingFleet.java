package org.plantainwharf.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
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
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.DocumentController;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.forward.ForwardController;
import org.plantainwharf.forward.ForwardHead;
import org.plantainwharf.forward.ForwardLimits;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.forward.PromptShape;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.testing.Samples;

/**
 * Fixture for crashes in a large fleet: 94 entry daemons with delayed links to a replicated log, clocks that differ and
 * processors that they get now and then, before 53 engines. Each kind of request has a first prompt part that many
 * requests share and a second one that few do. Used by one thread.
 */
final class LargeCrashingFleet {
    static final int ENTRY_DAEMONS = 94;
    static final int ENGINES = 53;
    static final String DEADLY_PART = "deadly";

    /** Time from the third crash until all daemons know of it; as in {@link CrashingFleet}. */
    static final long CONTACT_MILLIS = CrashingFleet.CONTACT_MILLIS;

    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final int ZONES = 6;
    private static final long STEP_MILLIS = 10;
    private static final long COMMIT_MILLIS = 30;
    private static final long CRASH_AFTER_START_MILLIS = 90;
    private static final long CALLER_RETRY_MILLIS = 60;

    /** A kind of request, and how its answers behave. */
    enum Kind {
        BATCH_REPORT(33, 1, 302, 200, 2_500),
        SHOP_CHAT(50, 26, 692, 150, 1_200),
        LABEL_TAG(97, 53, 1_325, 80, 250);

        private final double perSecond;
        private final int firstParts;
        private final int secondParts;
        private final long timeToAnswerMillis;
        private final long answerMillis;

        Kind(double perSecond, int firstParts, int secondParts, long timeToAnswerMillis, long answerMillis) {
            this.perSecond = perSecond;
            this.firstParts = firstParts;
            this.secondParts = secondParts;
            this.timeToAnswerMillis = timeToAnswerMillis;
            this.answerMillis = answerMillis;
        }
    }

    private final Random random;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Committed> log = new ArrayList<>();
    private final Set<String> decidedProposals = new HashSet<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMillis).thenComparingLong(Scheduled::order));
    private final Map<Long, Request> requests = new HashMap<>();
    private final Set<Kind> kinds = new HashSet<>(Set.of(Kind.values()));
    private final List<Long> deadlyCrashes = new ArrayList<>();
    private final List<Long> deadlyArrivals = new ArrayList<>();
    private final List<Refusal> refusals = new ArrayList<>();
    private long leaderMissingUntilMillis;
    private long nowMillis = 100_000;
    private long counter;
    private long engineIds;

    /** One entry daemon, the events that wait for its processor, and its distance to the log. */
    private static final class Daemon {
        private final HostId id;
        private final AvailabilityZone zone;
        private final Deque<Event> waiting = new ArrayDeque<>();
        private ControlCycle cycle;
        private int appliedEntries;
        private long linkMillis;
        private long clockOffsetMillis;
        private long pausedUntilMillis;

        Daemon(HostId id, AvailabilityZone zone, ControlCycle cycle, long linkMillis) {
            this.id = id;
            this.zone = zone;
            this.cycle = cycle;
            this.linkMillis = linkMillis;
        }
    }

    /** One engine at a fixed address; its id changes with each start. */
    private static final class Engine {
        private final String address;
        private ServerId id;
        private long sequence;
        private long startedMillis;
        private boolean up = true;
        private final Map<Long, Attempt> attempts = new HashMap<>();

        Engine(String address, ServerId id, long startedMillis) {
            this.address = address;
            this.id = id;
            this.startedMillis = startedMillis;
        }
    }

    private record Attempt(Daemon daemon, ControlCycle process, ForwardEffect.StartForward start, boolean began) {}

    private record Request(
            Kind kind, boolean deadly, List<PromptShape.Part> parts, String content, int callerAttempt) {}

    private record Committed(Command.Control command, long atMillis) {}

    private record Scheduled(long atMillis, long order, Runnable task) {}

    /** An answer that was refused by a daemon. */
    record Refusal(long atMillis, HostId daemon, Kind kind, boolean deadly, ErrorKind error) {
        /** Returns whether the answer says that the request is wrong or has crashed servers. */
        boolean callsTheRequestWrong() {
            return error == ErrorKind.REQUEST_QUARANTINED || error == ErrorKind.REQUEST_CRASHED_SERVERS;
        }
    }

    private LargeCrashingFleet(long seed) {
        this.random = new Random(seed);
        for (int index = 0; index < ENGINES; index++) {
            engines.add(new Engine("10.0.0." + index + ":80", nextEngineId(), nowMillis));
        }
        for (int index = 0; index < ENTRY_DAEMONS; index++) {
            HostId id = HostId.of("edge-" + index);
            ControlCycle cycle = createCycle(id);
            putDocument(cycle);
            daemons.add(new Daemon(id, AvailabilityZone.of("zone-" + index % ZONES), cycle, 2 + random.nextInt(30)));
        }
        reportEngines();
    }

    static LargeCrashingFleet create(long seed) {
        return new LargeCrashingFleet(seed);
    }

    private ServerId nextEngineId() {
        engineIds++;
        return ServerId.of("i-" + engineIds);
    }

    private ControlCycle createCycle(HostId id) {
        Board board = Board.create(Samples.settings(id.value()), 1, random.nextLong());
        board.configuration().state().apply(new Command.ListServerVersion(SERVICE, ServerVersion.unstated()));
        return ControlCycle.create(board, controllers());
    }

    private void putDocument(ControlCycle cycle) {
        Command command = new Command.ReplaceDocument(1, Content.of("application/json", new byte[] {1}));
        cycle.run(
                new ReplicationEvent.EntryApplied(
                        0, 1, command, cycle.board().configuration().state().apply(command)),
                nanos(),
                nowMillis);
    }

    private List<Controller> controllers() {
        RouteRule route = new RouteRule(
                RouteName.of("review"),
                "a.example",
                "/",
                Repeatability.STREAM,
                15_000,
                2_000,
                2,
                List.of(new RouteRule.Share(SERVICE, 1)),
                2,
                true,
                true,
                0);
        ServiceDocument document = new ServiceDocument(
                1,
                List.of(route),
                Map.of(SERVICE, new ServiceRule(SERVICE, 360, Optional.empty(), Optional.empty())),
                CallerBounds.defaults(),
                List.of());
        return List.of(
                RegistryController.learning(),
                DocumentController.create(content -> Either.right(document)),
                ForwardQuarantineController.create(),
                ForwardController.create(new ForwardLimits(0.2, 50, 8, 0, 0)),
                new LogController());
    }

    /** Commits proposals to the shared log, as the consensus controller does through the leader. */
    private final class LogController implements Controller {
        @Override
        public void handle(Event event, Board board, long nowNanos, Effects effects) {
            if (event instanceof ReplicationEvent.ProposalRequested requested
                    && requested.command() instanceof Command.Control command) {
                long linkMillis = daemons.stream()
                        .filter(daemon -> daemon.cycle.board() == board)
                        .mapToLong(daemon -> daemon.linkMillis)
                        .findFirst()
                        .orElse(0);
                schedule(linkMillis, () -> commit(requested.proposalId(), command));
            }
        }
    }

    private void commit(String proposalId, Command.Control command) {
        if (nowMillis < leaderMissingUntilMillis) {
            schedule(leaderMissingUntilMillis - nowMillis + random.nextInt(50), () -> commit(proposalId, command));
        } else if (decidedProposals.add(proposalId)) {
            log.add(new Committed(command, nowMillis + COMMIT_MILLIS));
        }
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void schedule(long delayMillis, Runnable task) {
        counter++;
        scheduled.add(new Scheduled(nowMillis + delayMillis, counter, task));
    }

    /** Sets whether callers send requests of a kind. */
    void setActive(Kind kind, boolean active) {
        if (active) {
            kinds.add(kind);
        } else {
            kinds.remove(kind);
        }
    }

    /** Lets the control group have no leader for some time. */
    void loseLeader(long millis) {
        leaderMissingUntilMillis = nowMillis + millis;
    }

    /** Sets the delay between the daemons of a zone and the log. */
    void setZoneLink(int zone, long millis) {
        daemons.stream()
                .filter(daemon -> daemon.zone.equals(AvailabilityZone.of("zone-" + zone)))
                .forEach(daemon -> daemon.linkMillis = millis);
    }

    /** Sets the clocks of a share of the daemons ahead, and those of as many others back. */
    void stepClocks(double share, long millis) {
        for (Daemon daemon : daemons) {
            double drawn = random.nextDouble();
            daemon.clockOffsetMillis = drawn < share / 2 ? millis : drawn < share ? -millis : 0;
        }
    }

    /** Pauses a share of the daemons, each for a random time up to the given one. */
    void pauseDaemons(double share, int maximumMillis) {
        for (Daemon daemon : daemons) {
            if (random.nextDouble() < share) {
                daemon.pausedUntilMillis = nowMillis + random.nextInt(maximumMillis);
            }
        }
    }

    /** Advances the clock while callers send requests, of which the given share contains the deadly part. */
    void runTraffic(long millis, double deadlyShare) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            for (Kind kind : Kind.values()) {
                if (kinds.contains(kind) && random.nextDouble() < kind.perSecond * STEP_MILLIS / 1_000) {
                    sendNew(kind, random.nextDouble() < deadlyShare);
                }
            }
            step();
        }
    }

    private void step() {
        nowMillis += STEP_MILLIS;
        while (!scheduled.isEmpty() && scheduled.peek().atMillis() <= nowMillis) {
            scheduled.remove().task().run();
        }
        for (int index = 0; index < daemons.size(); index++) {
            advance(daemons.get(index), index);
        }
        if (nowMillis % 1_000 == 0) {
            reportEngines();
        }
    }

    private void advance(Daemon daemon, int index) {
        if (nowMillis < daemon.pausedUntilMillis) {
            return;
        }
        while (!daemon.waiting.isEmpty()) {
            execute(daemon, daemon.waiting.remove());
        }
        while (daemon.appliedEntries < log.size()
                && log.get(daemon.appliedEntries).atMillis() + daemon.linkMillis <= nowMillis) {
            Command command = log.get(daemon.appliedEntries).command();
            daemon.appliedEntries++;
            execute(
                    daemon,
                    new ReplicationEvent.EntryApplied(
                            0,
                            1L + daemon.appliedEntries,
                            command,
                            daemon.cycle.board().configuration().state().apply(command)));
        }
        if ((nowMillis / STEP_MILLIS + index) % 5 == 0) {
            execute(daemon, new TimerEvent.Tick());
        }
    }

    private void sendNew(Kind kind, boolean deadly) {
        counter++;
        List<PromptShape.Part> parts = new ArrayList<>();
        parts.add(new PromptShape.Part(kind + "-first-" + random.nextInt(kind.firstParts), 512));
        parts.add(
                new PromptShape.Part(deadly ? DEADLY_PART : kind + "-second-" + random.nextInt(kind.secondParts), 300));
        parts.add(new PromptShape.Part("u" + counter, 200));
        arrive(new Request(kind, deadly, parts, "u" + counter, 1));
    }

    private void arrive(Request request) {
        counter++;
        long ticket = counter;
        requests.put(ticket, request);
        long tokens =
                request.parts().stream().mapToLong(PromptShape.Part::tokens).sum();
        run(
                daemons.get(random.nextInt(daemons.size())),
                new ForwardEvent.ForwardArrived(
                        ticket,
                        ForwardHead.of(
                                "id-" + ticket,
                                "a.example",
                                "/x",
                                Optional.empty(),
                                OptionalLong.of(15_000),
                                Optional.of(new PromptShape("m", tokens, 300, request.parts())),
                                Fingerprint.of(request.content())),
                        nanos()));
    }

    private void run(Daemon daemon, Event event) {
        if (nowMillis < daemon.pausedUntilMillis || !daemon.waiting.isEmpty()) {
            daemon.waiting.add(event);
        } else {
            execute(daemon, event);
        }
    }

    private void execute(Daemon daemon, Event event) {
        for (Effect effect : daemon.cycle.run(event, nanos(), nowMillis + daemon.clockOffsetMillis)) {
            if (effect instanceof ForwardEffect forward) {
                apply(daemon, forward);
            }
        }
    }

    private void apply(Daemon daemon, ForwardEffect effect) {
        ControlCycle process = daemon.cycle;
        switch (effect) {
            case ForwardEffect.StartForward start -> schedule(2, () -> serve(daemon, process, start));
            case ForwardEffect.CancelForward cancel -> cancel(cancel.ticket());
            case ForwardEffect.ProbeServer probe ->
                schedule(2, () -> {
                    if (!engine(probe.address()).up && daemon.cycle == process) {
                        run(daemon, new ForwardEvent.ServerUnreachable(probe.ticket(), probe.server()));
                    }
                });
            case ForwardEffect.CheckConnection check ->
                schedule(
                        2,
                        () -> run(
                                daemon, ForwardEvent.ConnectionChecked.of(check.server(), engine(check.address()).up)));
            case ForwardEffect.HandOver handOver -> throw new AssertionError("no other entry daemon is known");
            case ForwardEffect.RefuseForward refuse -> {
                Request request = request(refuse.ticket());
                refusals.add(new Refusal(
                        nowMillis,
                        daemon.id,
                        request.kind(),
                        request.deadly(),
                        refuse.failure().kind()));
                if (refuse.failure().kind().retryable()) {
                    retryByCaller(refuse.ticket());
                }
            }
            case ForwardEffect.PassFailure pass -> retryByCaller(pass.ticket());
            case ForwardEffect.BreakForward broken -> retryByCaller(broken.ticket());
        }
    }

    private Request request(long ticket) {
        return Objects.requireNonNull(requests.get(ticket));
    }

    private void retryByCaller(long ticket) {
        Request request = request(ticket);
        if (request.callerAttempt() == 1) {
            Request again = new Request(request.kind(), request.deadly(), request.parts(), request.content(), 2);
            schedule(CALLER_RETRY_MILLIS, () -> arrive(again));
        }
    }

    private Engine engine(String address) {
        return engines.stream()
                .filter(engine -> engine.address.equals(address))
                .findFirst()
                .orElseThrow();
    }

    private void serve(Daemon daemon, ControlCycle process, ForwardEffect.StartForward start) {
        Engine engine = engine(start.address());
        Attempt attempt = new Attempt(daemon, process, start, false);
        if (!engine.up) {
            end(attempt, new ForwardOutcome.NotSent(true, "ConnectException"));
            return;
        }
        if (!engine.id.equals(start.server())) {
            end(attempt, new ForwardOutcome.Refused(421, OptionalLong.empty()));
            return;
        }
        Request request = request(start.ticket());
        if (request.deadly()) {
            deadlyArrivals.add(nowMillis);
        }
        ServerId id = engine.id;
        engine.attempts.put(start.ticket(), attempt);
        schedule(request.kind().timeToAnswerMillis, () -> begin(engine, id, start.ticket()));
    }

    private void begin(Engine engine, ServerId id, long ticket) {
        Attempt attempt = engine.attempts.get(ticket);
        if (!engine.id.equals(id) || attempt == null) {
            return;
        }
        engine.attempts.put(ticket, new Attempt(attempt.daemon(), attempt.process(), attempt.start(), true));
        if (attempt.daemon().cycle == attempt.process()) {
            run(
                    attempt.daemon(),
                    new ForwardEvent.ForwardBegan(ticket, attempt.start().attempt(), Optional.empty()));
        }
        Request request = request(ticket);
        if (request.deadly()) {
            schedule(CRASH_AFTER_START_MILLIS, () -> {
                if (engine.id.equals(id) && engine.up) {
                    deadlyCrashes.add(nowMillis);
                    crash(engine, 3_000);
                }
            });
        } else {
            schedule(request.kind().answerMillis, () -> {
                if (engine.id.equals(id) && engine.attempts.remove(ticket) != null) {
                    end(attempt, new ForwardOutcome.Completed(false));
                }
            });
        }
    }

    private void cancel(long ticket) {
        for (Engine engine : engines) {
            Attempt attempt = engine.attempts.remove(ticket);
            if (attempt != null) {
                schedule(1, () -> end(attempt, new ForwardOutcome.Cancelled(0, false)));
            }
        }
    }

    private void end(Attempt attempt, ForwardOutcome outcome) {
        ForwardEffect.StartForward start = attempt.start();
        if (attempt.daemon().cycle == attempt.process()) {
            run(
                    attempt.daemon(),
                    new ForwardEvent.ForwardEnded(start.ticket(), start.attempt(), outcome, Optional.empty()));
        }
    }

    /** Crashes random engines at the same moment, for a reason that has nothing to do with any request. */
    void crashEngines(int count, long downMillis) {
        List<Engine> up =
                new ArrayList<>(engines.stream().filter(engine -> engine.up).toList());
        Collections.shuffle(up, random);
        up.stream().limit(count).forEach(engine -> crash(engine, downMillis));
    }

    private void crash(Engine engine, long downMillis) {
        engine.up = false;
        List<Attempt> lost = List.copyOf(engine.attempts.values());
        engine.attempts.clear();
        for (Attempt attempt : lost) {
            schedule(
                    random.nextInt(20),
                    () -> end(attempt, new ForwardOutcome.Broken(attempt.began(), true, "EOFException")));
        }
        schedule(downMillis, () -> {
            engine.up = true;
            engine.id = nextEngineId();
            engine.startedMillis = nowMillis;
            engine.sequence = 0;
            reportEngines();
        });
    }

    private void reportEngines() {
        List<ServerReport> reports = new ArrayList<>();
        for (Engine engine : engines) {
            if (engine.up) {
                engine.sequence++;
                reports.add(new ServerReport(
                        engine.id,
                        engine.startedMillis,
                        engine.sequence,
                        SERVICE,
                        engine.address,
                        AvailabilityZone.of("zone-a"),
                        12,
                        ServerPhase.READY,
                        0,
                        false,
                        OptionalLong.empty(),
                        ServerVersion.unstated()));
            }
        }
        PeerEvent event =
                new PeerEvent.PeerMessageReceived(HostId.of("core-1"), 1, new PeerMessage.ServerReports(reports));
        daemons.forEach(daemon -> run(daemon, event));
    }

    /** Replaces the processes of random daemons by new ones that have the replicated state. Their requests are lost. */
    void restartDaemons(int count) {
        for (int restarts = 0; restarts < count; restarts++) {
            Daemon daemon = daemons.get(random.nextInt(ENTRY_DAEMONS));
            List<StateRecord> state =
                    daemon.cycle.board().configuration().state().records();
            engines.forEach(engine -> engine.attempts.values().removeIf(attempt -> attempt.daemon() == daemon));
            daemon.waiting.clear();
            daemon.cycle = createCycle(daemon.id);
            daemon.cycle.board().configuration().state().restore(state);
            execute(daemon, new ReplicationEvent.StateReplaced(0, 1L + daemon.appliedEntries));
        }
        reportEngines();
    }

    /** Returns how many requests with the deadly part reached engines later than the contact time after the third crash. */
    long lateDeadlyArrivals() {
        return deadlyCrashes.size() < 3
                ? 0
                : deadlyArrivals.stream()
                        .filter(arrival -> arrival > deadlyCrashes.get(2) + CONTACT_MILLIS)
                        .count();
    }

    /** Returns the number of crashes caused by the deadly part. */
    int deadlyCrashes() {
        return deadlyCrashes.size();
    }

    /** Returns the sound requests that were refused or cut as wrong. */
    List<Refusal> soundRequestsCalledWrong() {
        return refusals.stream()
                .filter(refusal -> !refusal.deadly() && refusal.callsTheRequestWrong())
                .toList();
    }
}
