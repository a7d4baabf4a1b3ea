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
 * One run: the entry hosts of a firm, each with its own board and controllers, in front of fake servers on a virtual
 * clock. It plays the server and the membership controllers: announcements reach every host once a second, with the
 * load of a second ago. Equal arguments give equal results. Not thread-safe.
 */
final class FleetRun {
    private static final HostClass CHEAP = HostClass.of("cheap");
    private static final HostClass DEAR = HostClass.of("dear");
    private static final int ENGINE_SLOTS = 8;
    private static final int SERVICE_SLOTS = 4;
    private static final double TICK_MILLIS = 50;
    private static final double ANNOUNCE_MILLIS = 1_000;
    private static final double SAME_ZONE_MILLIS = 0.25;
    private static final double CACHE_REPORT_MILLIS = 200;
    private static final double RECLAIM_NOTICE_MILLIS = 2_000;
    private static final double[] SPEEDS = {2.5, 1, 0.5, 1.5, 1, 0.5, 2, 1};

    /** High enough that limits bear on the greedy account only; each scenario shows one thing. */
    private static final double AMPLE_LIMIT = 1_000;

    private static final double GREEDY_LIMIT = 4;
    private static final double GREEDY_PER_SECOND = 40;

    private final Firm firm;
    private final Scenario scenario;
    private final Policy policy;
    private final SplittableRandom random;
    private final VirtualClock clock = VirtualClock.create();
    private final List<Host> hosts = new ArrayList<>();
    private final Map<ServerId, FakeServer> servers = new LinkedHashMap<>();
    private final Map<RequestId, Sample> samples = new LinkedHashMap<>();
    private final Map<RequestId, Integer> lengths = new HashMap<>();
    private long retries;
    private long sequence;

    private FleetRun(Firm firm, Scenario scenario, Policy policy, long seed) {
        this.firm = firm;
        this.scenario = scenario;
        this.policy = policy;
        this.random = new SplittableRandom(seed);
    }

    /** Runs a scenario to its end. */
    static RunResult run(Firm firm, Scenario scenario, Policy policy, long seed) {
        FleetRun run = new FleetRun(firm, scenario, policy, seed);
        run.build(seed);
        run.clock.runUntil(Scenario.END_SECONDS);
        return RunResult.of(run.samples.values(), run.busyCost(), run.recomputedTokens(), run.retries);
    }

    private static AvailabilityZone zone(int index) {
        return AvailabilityZone.of("zone-" + index % Firm.ZONES);
    }

    private void build(long seed) {
        Sheet sheet = sheet();
        List<Settings.HostEntry> entries = new ArrayList<>();
        for (int index = 0; index < firm.entryHosts(); index++) {
            entries.add(new Settings.HostEntry(HostId.of("host-" + index), zone(index), "127.0.0.1:0", index < 5));
        }
        for (Settings.HostEntry entry : entries) {
            Settings settings = new Settings(
                    entry.host(),
                    entry.zone(),
                    CHEAP,
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
        hosts.forEach(this::leadOrFollow);
        run(hosts.getFirst(), new ReplicationEvent.LeadershipChanged(0, 1, true));
        for (int index = 0; index < hosts.size(); index++) {
            Host host = hosts.get(index);
            clock.after(
                    index * TICK_MILLIS / hosts.size(),
                    () -> repeat(TICK_MILLIS, () -> {
                        leadOrFollow(host);
                        run(host, new TimerEvent.Tick());
                    }));
        }
        arrivals(Work.QUESTION, firm.urgentPerSecond(), scenario.urgentFactor());
        arrivals(Work.CHAT, firm.normalPerSecond(), 1);
        arrivals(Work.REPORT, firm.batchPerSecond(), scenario.batchFactor());
        arrivals(Work.LOOKUP, firm.lookupsPerSecond(), 1);
        if (scenario.greedy()) {
            arrive(Work.CHAT, () -> Scenario.inFlood(clock.seconds()) ? GREEDY_PER_SECOND : 0, () -> Firm.ACCOUNTS
                    .get(3)
                    .account());
        }
        if (scenario.zoneLost()) {
            clock.after(Scenario.RECLAIM_SECONDS * 1_000, this::reclaimZone);
        }
    }

    private Sheet sheet() {
        Set<RankName> ranks = Set.of(Work.URGENT.name(), Work.NORMAL.name(), Work.BATCH.name());
        Map<AccountName, ClientAccount> accounts = new LinkedHashMap<>();
        for (Firm.AccountShare share : Firm.ACCOUNTS) {
            boolean greedy = scenario.greedy()
                    && share.account().equals(Firm.ACCOUNTS.get(3).account());
            accounts.put(
                    share.account(),
                    new ClientAccount(share.account(), "", 1, greedy ? GREEDY_LIMIT : AMPLE_LIMIT, ranks));
        }
        List<Budget> budgets = new ArrayList<>();
        for (int index = 0; index < Firm.ZONES; index++) {
            budgets.add(new Budget(zone(index), CHEAP, 1, 1_000, true));
            budgets.add(new Budget(zone(index), DEAR, scenario.pricesDiffer() ? 4 : 1, 1_000, false));
        }
        return new Sheet(
                1,
                "digest",
                accounts,
                Map.of(Work.URGENT.name(), Work.URGENT, Work.NORMAL.name(), Work.NORMAL, Work.BATCH.name(), Work.BATCH),
                Map.of(),
                budgets);
    }

    private void buildServers() {
        for (int index = 0; index < firm.engines(); index++) {
            HostClass hostClass = index / Firm.ZONES % 2 == 0 ? CHEAP : DEAR;
            double speed = scenario.unequal() ? SPEEDS[index % SPEEDS.length] : 1;
            ServerId id = ServerId.of("engine-" + index);
            servers.put(id, new FakeServer(clock, id, zone(index), hostClass, ENGINE_SLOTS, speed));
        }
        for (int index = 0; index < firm.services(); index++) {
            ServerId id = ServerId.of("service-" + index);
            servers.put(id, new FakeServer(clock, id, zone(index), CHEAP, SERVICE_SLOTS, 1));
        }
        int index = 0;
        for (FakeServer server : servers.values()) {
            clock.after(
                    index * ANNOUNCE_MILLIS / servers.size(), () -> repeat(ANNOUNCE_MILLIS, () -> announce(server)));
            index++;
        }
    }

    private void repeat(double periodMillis, Runnable action) {
        action.run();
        clock.after(periodMillis, () -> repeat(periodMillis, action));
    }

    private void announce(FakeServer server) {
        if (server.gone()) {
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
                        ? new ServerKind.ModelEngine(Set.of(Work.MODEL), true, false)
                        : new ServerKind.PlainService(Set.of(Work.ROUTE)),
                server.slots(),
                server.laggedLoad((long) ANNOUNCE_MILLIS),
                server.leaving());
        for (Host host : hosts) {
            clock.after(network(host.zone(), server.zone()), () -> {
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
        List<FakeServer> lost = servers.values().stream()
                .filter(server -> server.zone().equals(zone(0)))
                .toList();
        for (FakeServer server : lost) {
            server.leave();
            announce(server);
            clock.after(RECLAIM_NOTICE_MILLIS, server::die);
        }
    }

    private void leadOrFollow(Host host) {
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

    private void arrivals(Work work, double perSecond, double floodFactor) {
        arrive(work, () -> Scenario.inFlood(clock.seconds()) ? perSecond * floodFactor : perSecond, this::account);
    }

    /** Lets calls arrive at random; a rate of 0 is looked at again a little later. */
    private void arrive(Work work, Rate rate, Source source) {
        double perSecond = rate.perSecond();
        boolean active = perSecond > 0;
        double millis = active ? -Math.log(1 - random.nextDouble()) * 1_000 / perSecond : 100;
        clock.after(millis, () -> {
            if (clock.seconds() < Scenario.ARRIVALS_END_SECONDS) {
                if (active) {
                    call(work, source.account());
                }
                arrive(work, rate, source);
            }
        });
    }

    private AccountName account() {
        double point = random.nextDouble();
        for (Firm.AccountShare share : Firm.ACCOUNTS) {
            point -= share.share();
            if (point < 0) {
                return share.account();
            }
        }
        return Firm.ACCOUNTS.getLast().account();
    }

    private void call(Work work, AccountName account) {
        sequence++;
        RequestId id = RequestId.of("request-" + sequence);
        Host host = hosts.get(random.nextInt(hosts.size()));
        int length = work.outputTokens() == 0 ? 1 : Work.length(work.outputTokens(), random);
        CallKind kind = work.kind(account, length, random);
        lengths.put(id, length);
        samples.put(id, new Sample(work.rank(), account, clock.seconds()));
        clock.after(firm.callerMillis(), () -> {
            Call call = new Call(
                    id,
                    account,
                    work.rank().name(),
                    kind,
                    Content.of("text/plain", id.value().getBytes(StandardCharsets.UTF_8)),
                    Fingerprint.of(id.value()),
                    new Origin.Caller(),
                    clock.nowNanos(),
                    clock.nowNanos() + work.rank().deadlineMillis() * 1_000_000);
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
            start(host, start);
        } else if (effect instanceof AttemptEffect.CancelAttempt cancel) {
            servers.values().forEach(server -> server.cancel(cancel.attempt()));
            later(host, 0, new AttemptEvent.AttemptFailed(cancel.attempt(), new AttemptProblem.Cancelled(true), 0));
        } else if (effect instanceof CallEffect.FailCall fail) {
            sample(fail.request()).fail(fail.failure().kind().code());
        } else if (effect instanceof CallEffect.FinishStream finish) {
            sample(finish.request()).finish();
        } else if (effect instanceof CallEffect.AnswerCall answer) {
            sample(answer.request()).finish();
        } else if (effect instanceof PeerEffect.SendToPeer send) {
            hosts.stream()
                    .filter(peer -> peer.id().equals(send.peer()))
                    .forEach(peer -> later(
                            peer,
                            network(host.zone(), peer.zone()),
                            new PeerEvent.PeerMessageReceived(host.id(), 1, send.message())));
        } else if (effect instanceof ServerEffect.FetchCacheEvents fetch) {
            clock.after(CACHE_REPORT_MILLIS, () -> reportCache(host, fetch));
        } else if (effect instanceof CountEffect count) {
            count(count);
        }
    }

    private void count(CountEffect count) {
        if (count.metric().startsWith("retries.") && !count.metric().startsWith("retries.refused")) {
            retries += count.amount();
        }
    }

    private Sample sample(RequestId request) {
        return Objects.requireNonNull(samples.get(request));
    }

    private void reportCache(Host host, ServerEffect.FetchCacheEvents fetch) {
        FakeServer server = server(fetch.server());
        if (!server.gone()) {
            sequence++;
            run(
                    host,
                    new ServerEvent.CacheChanged(
                            fetch.server(), 1, 1, sequence, server.cachedBlocks(), List.of(), true));
        }
    }

    private void start(Host host, AttemptEffect.StartAttempt start) {
        FakeServer server = server(start.server());
        double network = network(host.zone(), server.zone());
        RequestId request = start.call().id();
        int length = Objects.requireNonNull(lengths.get(request));
        sample(request).sent(clock.seconds());
        later(host, 0, new AttemptEvent.AttemptSent(start.attempt()));
        FakeServer.Listener listener = new FakeServer.Listener() {
            @Override
            public void first() {
                clock.after(network + firm.callerMillis(), () -> sample(request).first(clock.seconds()));
                later(host, network, new AttemptEvent.FirstTokenReceived(start.attempt()));
            }

            @Override
            public void completed(int tokens) {
                later(host, network, new AttemptEvent.AttemptCompleted(start.attempt(), 200, Option.none(), tokens));
            }

            @Override
            public void failed(AttemptProblem problem, int tokens) {
                later(host, network, new AttemptEvent.AttemptFailed(start.attempt(), problem, tokens));
            }
        };
        clock.after(network, () -> server.submit(start, length, listener));
    }

    private FakeServer server(ServerId id) {
        return Objects.requireNonNull(servers.get(id));
    }

    private void later(Host host, double millis, Event event) {
        clock.after(millis, () -> run(host, event));
    }

    private double network(AvailabilityZone from, AvailabilityZone to) {
        return from.equals(to) ? SAME_ZONE_MILLIS : firm.crossZoneMillis();
    }

    private long recomputedTokens() {
        return servers.values().stream().mapToLong(FakeServer::recomputedTokens).sum();
    }

    /** Returns what the busy time of engine slots costs: a slot's part of its host's price. */
    private double busyCost() {
        Map<HostClass, Double> prices = Map.of(CHEAP, 1.0, DEAR, scenario.pricesDiffer() ? 4.0 : 1.0);
        return servers.values().stream()
                .filter(server -> server.id().value().startsWith("engine"))
                .collect(Collectors.summingDouble(server ->
                        server.busySeconds() / server.slots() / 3_600 * prices.getOrDefault(server.hostClass(), 1.0)));
    }

    private record Host(HostId id, AvailabilityZone zone, ControlCycle cycle) {}

    /** A rate of arrivals that may change with time. */
    @FunctionalInterface
    private interface Rate {
        double perSecond();
    }

    /** Chooses the account of the next call. */
    @FunctionalInterface
    private interface Source {
        AccountName account();
    }
}
