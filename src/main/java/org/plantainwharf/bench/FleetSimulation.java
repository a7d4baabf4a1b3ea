package org.plantainwharf.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import io.vavr.control.Option;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Sheet;

/**
 * Simulates one run on a virtual clock: the entry hosts of a deployment, each with its own board and controllers, in
 * front of simulated servers. It takes the place of the server controller and connects the hosts: announcements reach
 * every host once a second, with the load of a second ago. Equal arguments give equal results. Not thread-safe.
 */
final class FleetSimulation {
    private static final HostClass CHEAP_CLASS = HostClass.of("cheap");
    private static final HostClass EXPENSIVE_CLASS = HostClass.of("dear");
    private static final int ENGINE_SLOTS = 8;
    private static final int SERVICE_SLOTS = 4;
    private static final double TICK_PERIOD_MILLIS = 50;
    private static final double ANNOUNCEMENT_PERIOD_MILLIS = 1_000;
    private static final double SAME_ZONE_MILLIS = 0.25;
    private static final double CACHE_REPORT_DELAY_MILLIS = 200;
    private static final double RECLAIM_NOTICE_MILLIS = 2_000;
    private static final double[] ENGINE_SPEEDS = {2.5, 1, 0.5, 1.5, 1, 0.5, 2, 1};

    /** Higher than the rate of any account, so that limits affect the greedy account only: a scenario varies one thing. */
    private static final double UNREACHED_LIMIT_PER_SECOND = 1_000;

    private static final double GREEDY_ACCOUNT_LIMIT_PER_SECOND = 4;
    private static final double GREEDY_ACCOUNT_CALLS_PER_SECOND = 40;

    private final DeploymentProfile deployment;
    private final Scenario scenario;
    private final Policy policy;
    private final SplittableRandom random;
    private final VirtualClock clock = VirtualClock.create();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<ServerId, SimulatedServer> servers = new LinkedHashMap<>();
    private final Map<RequestId, CallSample> samples = new LinkedHashMap<>();
    private final Map<RequestId, Integer> outputLengths = new HashMap<>();
    private long retries;
    private long sequence;

    private FleetSimulation(DeploymentProfile deployment, Scenario scenario, Policy policy, long seed) {
        this.deployment = deployment;
        this.scenario = scenario;
        this.policy = policy;
        this.random = new SplittableRandom(seed);
    }

    /** Runs a scenario to its end and returns its figures. */
    static RunResult run(DeploymentProfile deployment, Scenario scenario, Policy policy, long seed) {
        FleetSimulation simulation = new FleetSimulation(deployment, scenario, policy, seed);
        simulation.build(seed);
        simulation.clock.runUntil(Scenario.END_SECONDS);
        return RunResult.of(
                simulation.samples.values(), simulation.busyCost(), simulation.recomputedTokens(), simulation.retries);
    }

    private static AvailabilityZone zone(int index) {
        return AvailabilityZone.of("zone-" + index % DeploymentProfile.ZONES);
    }

    private void build(long seed) {
        Sheet sheet = sheet();
        List<Settings.HostEntry> entries = new ArrayList<>();
        for (int index = 0; index < deployment.entryHosts(); index++) {
            entries.add(new Settings.HostEntry(HostId.of("host-" + index), zone(index), "127.0.0.1:0", index < 5));
        }
        for (Settings.HostEntry entry : entries) {
            Settings settings = new Settings(
                    entry.host(),
                    entry.zone(),
                    CHEAP_CLASS,
                    "127.0.0.1:0",
                    "127.0.0.1:0",
                    "127.0.0.1:0",
                    Optional.empty(),
                    entries,
                    1,
                    Settings.Timings.defaults(),
                    Settings.Bounds.defaults());
            Board board = Board.create(settings, 1, seed * 1_000 + hosts.size());
            board.configuration().putInForce(sheet);
            List<Controller> controllers = new ArrayList<>();
            controllers.add(MembershipController.create());
            controllers.addAll(policy.controllers());
            hosts.add(new Host(entry.host(), entry.zone(), ControlCycle.create(board, controllers)));
        }
        buildServers();
        connectHosts();
        hosts.forEach(this::publishLeadership);
        run(hosts.getFirst(), new ReplicationEvent.LeadershipChanged(0, 1, true));
        for (int index = 0; index < hosts.size(); index++) {
            Host host = hosts.get(index);
            clock.schedule(
                    index * TICK_PERIOD_MILLIS / hosts.size(),
                    () -> repeat(TICK_PERIOD_MILLIS, () -> {
                        publishLeadership(host);
                        run(host, new TimerEvent.Tick());
                    }));
        }
        scheduleArrivals(Workload.QUESTION, deployment.urgentPerSecond(), scenario.urgentFactor());
        scheduleArrivals(Workload.CHAT, deployment.normalPerSecond(), 1);
        scheduleArrivals(Workload.REPORT, deployment.batchPerSecond(), scenario.batchFactor());
        scheduleArrivals(Workload.LOOKUP, deployment.lookupsPerSecond(), 1);
        if (scenario.greedyAccount()) {
            scheduleNextArrival(
                    Workload.CHAT,
                    () -> Scenario.inFlood(clock.seconds()) ? GREEDY_ACCOUNT_CALLS_PER_SECOND : 0,
                    () -> DeploymentProfile.ACCOUNTS.get(3).account());
        }
        if (scenario.zoneReclaimed()) {
            clock.schedule(Scenario.RECLAIM_SECONDS * 1_000, this::reclaimZone);
        }
    }

    private Sheet sheet() {
        Set<RankName> ranks = Set.of(Workload.URGENT.name(), Workload.NORMAL.name(), Workload.BATCH.name());
        Map<AccountName, ClientAccount> accounts = new LinkedHashMap<>();
        for (DeploymentProfile.AccountShare share : DeploymentProfile.ACCOUNTS) {
            boolean greedy = scenario.greedyAccount()
                    && share.account().equals(DeploymentProfile.ACCOUNTS.get(3).account());
            accounts.put(
                    share.account(),
                    new ClientAccount(
                            share.account(),
                            "",
                            1,
                            greedy ? GREEDY_ACCOUNT_LIMIT_PER_SECOND : UNREACHED_LIMIT_PER_SECOND,
                            ranks));
        }
        List<Budget> budgets = new ArrayList<>();
        for (int index = 0; index < DeploymentProfile.ZONES; index++) {
            budgets.add(new Budget(zone(index), CHEAP_CLASS, 1, 1_000, true));
            budgets.add(new Budget(zone(index), EXPENSIVE_CLASS, scenario.unequalPrices() ? 4 : 1, 1_000, false));
        }
        return new Sheet(
                1,
                "digest",
                accounts,
                Map.of(
                        Workload.URGENT.name(),
                        Workload.URGENT,
                        Workload.NORMAL.name(),
                        Workload.NORMAL,
                        Workload.BATCH.name(),
                        Workload.BATCH),
                Map.of(),
                budgets);
    }

    private void buildServers() {
        for (int index = 0; index < deployment.engines(); index++) {
            HostClass hostClass = index / DeploymentProfile.ZONES % 2 == 0 ? CHEAP_CLASS : EXPENSIVE_CLASS;
            double speed = scenario.unequalSpeeds() ? ENGINE_SPEEDS[index % ENGINE_SPEEDS.length] : 1;
            ServerId id = ServerId.of("engine-" + index);
            servers.put(id, new SimulatedServer(clock, id, zone(index), hostClass, ENGINE_SLOTS, speed));
        }
        for (int index = 0; index < deployment.services(); index++) {
            ServerId id = ServerId.of("service-" + index);
            servers.put(id, new SimulatedServer(clock, id, zone(index), CHEAP_CLASS, SERVICE_SLOTS, 1));
        }
        int index = 0;
        for (SimulatedServer server : servers.values()) {
            clock.schedule(
                    index * ANNOUNCEMENT_PERIOD_MILLIS / servers.size(),
                    () -> repeat(ANNOUNCEMENT_PERIOD_MILLIS, () -> announce(server)));
            index++;
        }
    }

    private void repeat(double periodMillis, Runnable action) {
        action.run();
        clock.schedule(periodMillis, () -> repeat(periodMillis, action));
    }

    private void announce(SimulatedServer server) {
        if (server.terminated()) {
            return;
        }
        sequence++;
        boolean engine = server.id().value().startsWith("engine");
        Announcement announcement = new Announcement(
                server.id(),
                1,
                sequence,
                "127.0.0.1:1",
                server.zone(),
                server.hostClass(),
                engine
                        ? new ServerKind.ModelEngine(Set.of(Workload.MODEL), true, false)
                        : new ServerKind.PlainService(Set.of(Workload.ROUTE)),
                server.slots(),
                server.previousLoad((long) ANNOUNCEMENT_PERIOD_MILLIS),
                server.leaving());
        for (Host host : hosts) {
            clock.schedule(networkMillis(host.zone(), server.zone()), () -> {
                Board board = host.cycle().board();
                ServerEntry entry =
                        board.servers().server(server.id()).orElseGet(() -> ServerEntry.create(announcement));
                board.servers().put(entry);
                long leaseMillis = board.settings().timings().serverLeaseMillis();
                entry.renew(announcement, clock.nowNanos() + leaseMillis * 1_000_000, clock.nowNanos());
                run(host, new ServerEvent.ServerAnnounced(announcement, 0, 0));
            });
        }
    }

    private void reclaimZone() {
        List<SimulatedServer> lost = servers.values().stream()
                .filter(server -> server.zone().equals(zone(0)))
                .toList();
        for (SimulatedServer server : lost) {
            server.startLeaving();
            announce(server);
            clock.schedule(RECLAIM_NOTICE_MILLIS, server::terminate);
        }
    }

    private void publishLeadership(Host host) {
        boolean leads = host == hosts.getFirst();
        host.cycle()
                .board()
                .consensus()
                .put(new GroupStatus(
                        0,
                        Optional.of(hosts.getFirst().id()),
                        leads,
                        1,
                        1,
                        1,
                        leads ? clock.nowNanos() + 900_000_000L : 0,
                        clock.nowNanos(),
                        true));
    }

    private void connectHosts() {
        for (Host host : hosts) {
            for (Host peer : hosts) {
                if (peer != host) {
                    run(host, new PeerEvent.PeerConnected(peer.id(), peer.zone(), 1));
                }
            }
        }
    }

    private void scheduleArrivals(Workload workload, double perSecond, double floodFactor) {
        scheduleNextArrival(
                workload,
                () -> Scenario.inFlood(clock.seconds()) ? perSecond * floodFactor : perSecond,
                this::randomAccount);
    }

    /**
     * Schedules Poisson arrivals at a rate that is read again after each arrival. A rate of 0 is read again after 100 ms.
     */
    private void scheduleNextArrival(Workload workload, ArrivalRate rate, AccountSelector accountSelector) {
        double perSecond = rate.perSecond();
        boolean active = perSecond > 0;
        double millis = active ? -Math.log(1 - random.nextDouble()) * 1_000 / perSecond : 100;
        clock.schedule(millis, () -> {
            if (clock.seconds() < Scenario.ARRIVALS_END_SECONDS) {
                if (active) {
                    submitCall(workload, accountSelector.selectAccount());
                }
                scheduleNextArrival(workload, rate, accountSelector);
            }
        });
    }

    private AccountName randomAccount() {
        double point = random.nextDouble();
        for (DeploymentProfile.AccountShare share : DeploymentProfile.ACCOUNTS) {
            point -= share.share();
            if (point < 0) {
                return share.account();
            }
        }
        return DeploymentProfile.ACCOUNTS.getLast().account();
    }

    private void submitCall(Workload workload, AccountName account) {
        sequence++;
        RequestId id = RequestId.of("request-" + sequence);
        Host host = hosts.get(random.nextInt(hosts.size()));
        int outputLength = workload.outputTokens() == 0 ? 1 : Workload.randomLength(workload.outputTokens(), random);
        CallKind kind = workload.createCallKind(account, outputLength, random);
        outputLengths.put(id, outputLength);
        samples.put(id, new CallSample(workload.rank(), account, clock.seconds()));
        clock.schedule(deployment.callerMillis(), () -> {
            Call call = new Call(
                    id,
                    account,
                    workload.rank().name(),
                    kind,
                    Content.of("text/plain", id.value().getBytes(StandardCharsets.UTF_8)),
                    Fingerprint.of(id.value()),
                    new Origin.Caller(),
                    clock.nowNanos(),
                    clock.nowNanos() + workload.rank().deadlineMillis() * 1_000_000);
            run(host, new CallEvent.CallArrived(call));
        });
    }

    private void run(Host host, Event event) {
        for (Effect effect : host.cycle().run(event, clock.nowNanos(), clock.nowNanos() / 1_000_000)) {
            execute(host, effect);
        }
    }

    private void execute(Host host, Effect effect) {
        if (effect instanceof AttemptEffect.StartAttempt start) {
            startAttempt(host, start);
        } else if (effect instanceof AttemptEffect.CancelAttempt cancel) {
            servers.values().forEach(server -> server.cancel(cancel.attempt()));
            runAfter(host, 0, new AttemptEvent.AttemptFailed(cancel.attempt(), new AttemptProblem.Cancelled(true), 0));
        } else if (effect instanceof CallEffect.FailCall fail) {
            requireSample(fail.request()).recordFailure(fail.failure().kind().code());
        } else if (effect instanceof CallEffect.FinishStream finish) {
            requireSample(finish.request()).recordCompletion();
        } else if (effect instanceof CallEffect.AnswerCall answer) {
            requireSample(answer.request()).recordCompletion();
        } else if (effect instanceof PeerEffect.SendToPeer send) {
            hosts.stream()
                    .filter(peer -> peer.id().equals(send.peer()))
                    .forEach(peer -> runAfter(
                            peer,
                            networkMillis(host.zone(), peer.zone()),
                            new PeerEvent.PeerMessageReceived(host.id(), 1, send.message())));
        } else if (effect instanceof ServerEffect.FetchCacheEvents fetch) {
            clock.schedule(CACHE_REPORT_DELAY_MILLIS, () -> reportCache(host, fetch));
        } else if (effect instanceof CountEffect count) {
            countRetries(count);
        }
    }

    private void countRetries(CountEffect count) {
        if (count.metric().startsWith("retries.") && !count.metric().startsWith("retries.refused")) {
            retries += count.amount();
        }
    }

    private CallSample requireSample(RequestId request) {
        return Objects.requireNonNull(samples.get(request));
    }

    private void reportCache(Host host, ServerEffect.FetchCacheEvents fetch) {
        SimulatedServer server = requireServer(fetch.server());
        if (!server.terminated()) {
            sequence++;
            run(
                    host,
                    new ServerEvent.CacheChanged(
                            fetch.server(), 1, 1, sequence, server.cachedBlocks(), List.of(), true));
        }
    }

    private void startAttempt(Host host, AttemptEffect.StartAttempt start) {
        SimulatedServer server = requireServer(start.server());
        double networkMillis = networkMillis(host.zone(), server.zone());
        RequestId request = start.call().id();
        int outputLength = Objects.requireNonNull(outputLengths.get(request));
        requireSample(request).recordAttempt(clock.seconds());
        runAfter(host, 0, new AttemptEvent.AttemptSent(start.attempt()));
        SimulatedServer.Listener listener = new SimulatedServer.Listener() {
            @Override
            public void onFirstToken() {
                clock.schedule(networkMillis + deployment.callerMillis(), () -> requireSample(request)
                        .recordFirstToken(clock.seconds()));
                runAfter(host, networkMillis, new AttemptEvent.FirstTokenReceived(start.attempt()));
            }

            @Override
            public void onCompleted(int tokens) {
                runAfter(
                        host,
                        networkMillis,
                        new AttemptEvent.AttemptCompleted(start.attempt(), 200, Option.none(), tokens));
            }

            @Override
            public void onFailed(AttemptProblem problem, int tokens) {
                runAfter(host, networkMillis, new AttemptEvent.AttemptFailed(start.attempt(), problem, tokens));
            }
        };
        clock.schedule(networkMillis, () -> server.submit(start, outputLength, listener));
    }

    private SimulatedServer requireServer(ServerId id) {
        return Objects.requireNonNull(servers.get(id));
    }

    private void runAfter(Host host, double millis, Event event) {
        clock.schedule(millis, () -> run(host, event));
    }

    private double networkMillis(AvailabilityZone from, AvailabilityZone to) {
        return from.equals(to) ? SAME_ZONE_MILLIS : deployment.crossZoneMillis();
    }

    private long recomputedTokens() {
        return servers.values().stream()
                .mapToLong(SimulatedServer::recomputedTokens)
                .sum();
    }

    /** Returns the cost of the engine slots while they were busy, each at its share of the hourly price of its host. */
    private double busyCost() {
        Map<HostClass, Double> prices = Map.of(CHEAP_CLASS, 1.0, EXPENSIVE_CLASS, scenario.unequalPrices() ? 4.0 : 1.0);
        return servers.values().stream()
                .filter(server -> server.id().value().startsWith("engine"))
                .collect(Collectors.summingDouble(server ->
                        server.busySeconds() / server.slots() / 3_600 * prices.getOrDefault(server.hostClass(), 1.0)));
    }

    private record Host(HostId id, AvailabilityZone zone, ControlCycle cycle) {}

    /** Arrival rate of calls, which may change over time. */
    @FunctionalInterface
    private interface ArrivalRate {
        double perSecond();
    }

    /** Selects the account of the next call. */
    @FunctionalInterface
    private interface AccountSelector {
        AccountName selectAccount();
    }
}
