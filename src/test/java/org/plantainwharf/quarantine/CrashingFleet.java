package org.plantainwharf.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
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
import java.util.TreeMap;
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
import org.plantainwharf.error.Failure;
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
import org.plantainwharf.testing.Samples;

/**
 * Fixture for requests that crash servers: entry daemons with a shared replicated log forward generation requests to
 * engines, on a virtual clock. An engine that begins an answer to a prompt with {@link #DEADLY_PART} crashes soon
 * afterwards and restarts with a new id at the same address. Callers repeat a failed request once at another daemon.
 * Used by one thread.
 */
final class CrashingFleet {
    static final String DEADLY_PART = "d0";
    static final long CONTACT_MILLIS = 3_000;
    static final int ENGINES = 6;

    private static final String DEADLY_CONTENT = "deadly request";
    private static final ServiceName SERVICE = ServiceName.of("engines");
    private static final long STEP_MILLIS = 10;
    private static final long LOG_DELAY_MILLIS = 40;
    private static final long TIME_TO_ANSWER_MILLIS = 120;
    private static final long ANSWER_MILLIS = 1_500;
    private static final long CRASH_AFTER_START_MILLIS = 90;
    private static final long DOWN_MILLIS = 3_000;
    private static final long CALLER_RETRY_MILLIS = 60;
    private static final int USUAL_SUBJECTS = 20;

    private final Random random;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Command.Control> log = new ArrayList<>();
    private final Set<String> decidedProposals = new HashSet<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMillis).thenComparingLong(Scheduled::order));
    private final Map<Long, Request> requests = new HashMap<>();
    private final Set<Long> sent = new HashSet<>();
    private final List<Long> crashes = new ArrayList<>();
    private final List<Long> deadlyCrashes = new ArrayList<>();
    private final List<Long> deadlyArrivals = new ArrayList<>();
    private final List<Refusal> refusals = new ArrayList<>();
    private final TreeMap<Long, Boolean> soundFirstAttempts = new TreeMap<>();
    private int subjects = USUAL_SUBJECTS;
    private boolean answersEndByClose;
    private boolean deadlyRequestsHaveNoPrompt;
    private long nowMillis = 100_000;
    private long counter;
    private long engineIds;

    /** One entry daemon and the messages that the fixture keeps from it. */
    private static final class Daemon {
        private final HostId id;
        private ControlCycle cycle;
        private int appliedEntries;
        private boolean reachesLog = true;

        Daemon(HostId id, ControlCycle cycle) {
            this.id = id;
            this.cycle = cycle;
        }
    }

    /** One engine at a fixed address; its id changes with each start. */
    private static final class Engine {
        private final String address;
        private ServerId id;
        private long sequence;
        private long startedMillis;
        private boolean up = true;
        private ServerPhase phase = ServerPhase.READY;
        private final Map<Long, Attempt> attempts = new HashMap<>();

        Engine(String address, ServerId id, long startedMillis) {
            this.address = address;
            this.id = id;
            this.startedMillis = startedMillis;
        }
    }

    private record Attempt(Daemon daemon, ForwardEffect.StartForward start, boolean began) {}

    /** A request of a caller; one without prompt parts is a plain request that a caller sends again and again. */
    private record Request(List<PromptShape.Part> parts, String content, int callerAttempt, long arrivedMillis) {
        boolean deadly() {
            return content.equals(DEADLY_CONTENT)
                    || parts.stream().anyMatch(part -> part.id().equals(DEADLY_PART));
        }
    }

    /**
     * An answer that was refused by a daemon.
     *
     * @param deadly whether the request contains the deadly part
     * @param sent whether the request had been sent to an engine
     */
    record Refusal(boolean deadly, Failure failure, boolean sent) {}

    private record Scheduled(long atMillis, long order, Runnable task) {}

    private CrashingFleet(long seed, int entries) {
        this.random = new Random(seed);
        for (int index = 0; index < ENGINES; index++) {
            engines.add(new Engine("10.0.0." + index + ":80", nextEngineId(), nowMillis));
        }
        for (int index = 0; index < entries; index++) {
            HostId id = HostId.of("edge-" + index);
            Daemon daemon = new Daemon(id, createCycle(id));
            daemons.add(daemon);
        }
        engines.forEach(this::report);
    }

    static CrashingFleet create(long seed, int entries) {
        return new CrashingFleet(seed, entries);
    }

    private ServerId nextEngineId() {
        engineIds++;
        return ServerId.of("i-" + engineIds);
    }

    private ControlCycle createCycle(HostId id) {
        Board board = Board.create(Samples.settings(id.value()), 1, random.nextLong());
        ControlCycle cycle = ControlCycle.create(board, controllers());
        board.configuration().state().apply(new Command.ListServerVersion(SERVICE, ServerVersion.unstated()));
        Command command = new Command.ReplaceDocument(1, Content.of("application/json", new byte[] {1}));
        cycle.run(
                new ReplicationEvent.EntryApplied(
                        0, 1, command, board.configuration().state().apply(command)),
                nanos(),
                nowMillis);
        return cycle;
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
                boolean reachesLog = daemons.stream()
                        .filter(daemon -> daemon.cycle.board() == board)
                        .anyMatch(daemon -> daemon.reachesLog);
                if (reachesLog) {
                    schedule(LOG_DELAY_MILLIS, () -> {
                        if (decidedProposals.add(requested.proposalId())) {
                            log.add(command);
                        }
                    });
                }
            }
        }
    }

    private long nanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMillis);
    }

    private void schedule(long delayMillis, Runnable task) {
        counter++;
        scheduled.add(new Scheduled(nowMillis + delayMillis, counter, task));
    }

    /** Makes the deadly request a plain one with the same content each time. */
    void sendDeadlyRequestsWithoutPrompt() {
        deadlyRequestsHaveNoPrompt = true;
    }

    /** Sets the number of prompt parts of which each request has one. Each is rare if there are many. */
    void setSubjects(int count) {
        subjects = count;
    }

    /** Makes answers end with their connection, so that the answers cut by a crash look complete. */
    void endAnswersByClose() {
        answersEndByClose = true;
    }

    /** Advances the clock while callers send requests, of which the given share contains the deadly part. */
    void runTraffic(long millis, double requestsPerSecond, double deadlyShare) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            if (random.nextDouble() < requestsPerSecond * STEP_MILLIS / 1_000) {
                sendNew(random.nextDouble() < deadlyShare);
            }
            step();
        }
    }

    private void step() {
        nowMillis += STEP_MILLIS;
        while (!scheduled.isEmpty() && scheduled.peek().atMillis() <= nowMillis) {
            scheduled.remove().task().run();
        }
        for (Daemon daemon : daemons) {
            while (daemon.reachesLog && daemon.appliedEntries < log.size()) {
                Command command = log.get(daemon.appliedEntries);
                daemon.appliedEntries++;
                run(
                        daemon,
                        new ReplicationEvent.EntryApplied(
                                0,
                                1L + daemon.appliedEntries,
                                command,
                                daemon.cycle.board().configuration().state().apply(command)));
            }
            if (nowMillis % 50 == 0) {
                run(daemon, new TimerEvent.Tick());
            }
        }
        if (nowMillis % 1_000 == 0) {
            engines.stream().filter(engine -> engine.up).forEach(this::report);
        }
    }

    private void sendNew(boolean deadly) {
        counter++;
        if (deadly && deadlyRequestsHaveNoPrompt) {
            arrive(new Request(List.of(), DEADLY_CONTENT, 1, nowMillis));
            return;
        }
        List<PromptShape.Part> parts = new ArrayList<>();
        parts.add(new PromptShape.Part("c0", 5_000));
        if (deadly) {
            parts.add(new PromptShape.Part(DEADLY_PART, 400));
        }
        parts.add(new PromptShape.Part("s" + random.nextInt(subjects), 300));
        parts.add(new PromptShape.Part("u" + counter, 200));
        arrive(new Request(parts, "u" + counter, 1, nowMillis));
    }

    private void arrive(Request request) {
        counter++;
        long ticket = counter;
        requests.put(ticket, request);
        if (!request.deadly() && request.callerAttempt() == 1) {
            soundFirstAttempts.put(ticket, false);
        }
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
                                request.parts().isEmpty()
                                        ? Optional.empty()
                                        : Optional.of(new PromptShape("m", tokens, 300, request.parts())),
                                Fingerprint.of(request.content())),
                        nanos()));
    }

    private void run(Daemon daemon, Event event) {
        for (Effect effect : daemon.cycle.run(event, nanos(), nowMillis)) {
            if (effect instanceof ForwardEffect forward) {
                execute(daemon, forward);
            }
        }
    }

    private void execute(Daemon daemon, ForwardEffect effect) {
        switch (effect) {
            case ForwardEffect.StartForward start -> schedule(2, () -> serve(daemon, start));
            case ForwardEffect.CancelForward cancel -> cancel(daemon, cancel.ticket());
            case ForwardEffect.ProbeServer probe ->
                schedule(2, () -> {
                    if (!engine(probe.address()).up) {
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
                refusals.add(new Refusal(
                        request(refuse.ticket()).deadly(), refuse.failure(), sent.contains(refuse.ticket())));
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
            schedule(CALLER_RETRY_MILLIS, () -> arrive(new Request(request.parts(), request.content(), 2, nowMillis)));
        }
    }

    private Engine engine(String address) {
        return engines.stream()
                .filter(engine -> engine.address.equals(address))
                .findFirst()
                .orElseThrow();
    }

    private void serve(Daemon daemon, ForwardEffect.StartForward start) {
        Engine engine = engine(start.address());
        if (!engine.up) {
            end(daemon, start, new ForwardOutcome.NotSent(true, "ConnectException"));
            return;
        }
        if (!engine.id.equals(start.server())) {
            end(daemon, start, new ForwardOutcome.Refused(421, OptionalLong.empty()));
            return;
        }
        Request request = request(start.ticket());
        sent.add(start.ticket());
        if (request.deadly()) {
            deadlyArrivals.add(nowMillis);
        }
        ServerId id = engine.id;
        engine.attempts.put(start.ticket(), new Attempt(daemon, start, false));
        schedule(TIME_TO_ANSWER_MILLIS, () -> begin(engine, id, start.ticket()));
    }

    private void begin(Engine engine, ServerId id, long ticket) {
        Attempt attempt = engine.attempts.get(ticket);
        if (!engine.id.equals(id) || attempt == null) {
            return;
        }
        engine.attempts.put(ticket, new Attempt(attempt.daemon(), attempt.start(), true));
        soundFirstAttempts.computeIfPresent(
                ticket, (key, began) -> attempt.start().attempt() == 1 || began);
        run(
                attempt.daemon(),
                new ForwardEvent.ForwardBegan(ticket, attempt.start().attempt(), Optional.empty()));
        if (request(ticket).deadly()) {
            schedule(CRASH_AFTER_START_MILLIS, () -> {
                if (engine.id.equals(id) && engine.up) {
                    deadlyCrashes.add(nowMillis);
                    crash(engine);
                }
            });
        } else {
            schedule(ANSWER_MILLIS, () -> {
                if (engine.id.equals(id) && engine.attempts.remove(ticket) != null) {
                    end(attempt.daemon(), attempt.start(), new ForwardOutcome.Completed(answersEndByClose));
                }
            });
        }
    }

    private void cancel(Daemon daemon, long ticket) {
        for (Engine engine : engines) {
            Attempt attempt = engine.attempts.remove(ticket);
            if (attempt != null) {
                schedule(1, () -> end(daemon, attempt.start(), new ForwardOutcome.Cancelled(0, false)));
            }
        }
    }

    private void end(Daemon daemon, ForwardEffect.StartForward start, ForwardOutcome outcome) {
        run(daemon, new ForwardEvent.ForwardEnded(start.ticket(), start.attempt(), outcome, Optional.empty()));
    }

    /** Crashes the given number of engines at the same moment, for a reason that has nothing to do with any request. */
    void crashEngines(int count) {
        engines.stream().filter(engine -> engine.up).limit(count).toList().forEach(this::crash);
    }

    /** Resets every connection of a daemon; the engines keep running. */
    void resetConnections(int index) {
        Daemon daemon = daemons.get(index);
        for (Engine engine : engines) {
            List<Attempt> lost = engine.attempts.values().stream()
                    .filter(attempt -> attempt.daemon() == daemon)
                    .toList();
            engine.attempts.values().removeAll(lost);
            lost.forEach(attempt ->
                    end(daemon, attempt.start(), new ForwardOutcome.Broken(attempt.began(), true, "EOFException")));
        }
    }

    /** Announces that an engine leaves, and stops it while it still has requests. */
    void reclaim(int index) {
        Engine engine = engines.get(index);
        engine.phase = ServerPhase.LEAVING;
        report(engine);
        crash(engine);
    }

    private void crash(Engine engine) {
        crashes.add(nowMillis);
        engine.up = false;
        Deque<Attempt> lost = new ArrayDeque<>(engine.attempts.values());
        engine.attempts.clear();
        for (Attempt attempt : lost) {
            ForwardOutcome outcome = answersEndByClose && attempt.began()
                    ? new ForwardOutcome.Completed(true)
                    : new ForwardOutcome.Broken(attempt.began(), true, "EOFException");
            schedule(random.nextInt(20), () -> end(attempt.daemon(), attempt.start(), outcome));
        }
        schedule(DOWN_MILLIS, () -> {
            engine.up = true;
            engine.phase = ServerPhase.READY;
            engine.id = nextEngineId();
            engine.startedMillis = nowMillis;
            engine.sequence = 0;
            report(engine);
        });
    }

    private void report(Engine engine) {
        engine.sequence++;
        ServerReport report = new ServerReport(
                engine.id,
                engine.startedMillis,
                engine.sequence,
                SERVICE,
                engine.address,
                AvailabilityZone.of("zone-a"),
                64,
                engine.phase,
                0,
                false,
                OptionalLong.empty(),
                ServerVersion.unstated());
        PeerMessage reports = new PeerMessage.ServerReports(List.of(report));
        daemons.forEach(daemon -> run(daemon, new PeerEvent.PeerMessageReceived(HostId.of("core-1"), 1, reports)));
    }

    /** Replaces the process of a daemon by a new one that has only the replicated log. Its requests are lost. */
    void restart(int index) {
        Daemon daemon = daemons.get(index);
        engines.forEach(engine -> engine.attempts.values().removeIf(attempt -> attempt.daemon() == daemon));
        Daemon restarted = new Daemon(daemon.id, createCycle(daemon.id));
        daemons.set(index, restarted);
        engines.stream().filter(engine -> engine.up).forEach(this::report);
    }

    /** Disconnects a daemon from the replicated log, or connects it again. */
    void setReachesLog(int index, boolean reachesLog) {
        daemons.get(index).reachesLog = reachesLog;
    }

    /** Returns the number of contents with crashes attributed to them. */
    int attributedContents() {
        return daemons.getFirst()
                .cycle
                .board()
                .configuration()
                .state()
                .crashes()
                .size();
    }

    /** Returns the number of crashes so far. */
    int crashes() {
        return crashes.size();
    }

    /** Returns how many requests with the deadly part reached engines so far. */
    int deadlyArrivals() {
        return deadlyArrivals.size();
    }

    /** Returns how many requests with the deadly part reached engines later than the contact time after the fifth crash. */
    long lateDeadlyArrivals() {
        return deadlyCrashes.size() < 5
                ? 0
                : deadlyArrivals.stream()
                        .filter(arrival -> arrival > deadlyCrashes.get(4) + CONTACT_MILLIS)
                        .count();
    }

    /** Returns the answers that were refused by a daemon. */
    List<Refusal> refusals() {
        return refusals;
    }

    /** Returns the number of requests so far, with those that callers repeated. */
    int requests() {
        return requests.size();
    }

    /** Returns the share of sound requests, sent within the last milliseconds, whose first attempt was answered. */
    double shareBegunAtFirstAttempt(long lastMillis) {
        List<Boolean> results = soundFirstAttempts.entrySet().stream()
                .filter(entry -> request(entry.getKey()).arrivedMillis() >= nowMillis - lastMillis)
                .map(Map.Entry::getValue)
                .toList();
        return (double) results.stream().filter(Boolean::booleanValue).count() / Math.max(1, results.size());
    }
}
