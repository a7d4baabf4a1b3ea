package org.plantainwharf.decision;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Option;
import org.plantainwharf.admission.AdmissionController;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.limit.LimitController;
import org.plantainwharf.quarantine.QuarantineController;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.retry.AttemptController;
import org.plantainwharf.routing.RoutingController;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

/**
 * Drives the decision controllers of one host with a virtual clock. It takes the place of the server controller and
 * puts servers on the board directly. Not thread-safe.
 */
public final class DecisionHarness {
    public static final ModelName MODEL = ModelName.of("pine");
    public static final RouteName STOCK = RouteName.of("stock");
    public static final AvailabilityZone ZONE_A = AvailabilityZone.of("a");
    public static final AvailabilityZone ZONE_B = AvailabilityZone.of("b");
    public static final HostClass CLASS = HostClass.of("standard");

    private static final Set<RankName> ALL_RANKS =
            Set.of(RankName.of("urgent"), RankName.of("normal"), RankName.of("batch"));

    private final Board board;
    private final ControlCycle cycle;
    private final List<Effect> effects = new ArrayList<>();
    private long nowNanos = 1_000_000_000L;
    private long wallClockMillis = 1_700_000_000_000L;
    private long sequence;
    private boolean majority = true;

    private DecisionHarness(Settings settings) {
        this.board = Board.create(settings, 1, 42);
        this.cycle = ControlCycle.create(
                board,
                List.of(
                        new ControlGroup(),
                        LimitController.create(),
                        QuarantineController.create(),
                        AdmissionController.create(),
                        AttemptController.create(),
                        RoutingController.create()));
    }

    /** Returns a host without servers and with the sheet {@link #sheet} in force. */
    public static DecisionHarness create() {
        DecisionHarness harness = new DecisionHarness(settings(1));
        harness.board.configuration().putInForce(sheet(1_000));
        return harness;
    }

    /** Returns a host that has no sheet yet. */
    public static DecisionHarness withoutSheet() {
        return new DecisionHarness(settings(1));
    }

    /** Returns the settings of host {@code h0} in a system with the given number of hosts. */
    public static Settings settings(int hosts) {
        List<Settings.HostEntry> entries = new ArrayList<>();
        for (int index = 0; index < hosts; index++) {
            entries.add(new Settings.HostEntry(HostId.of("h" + index), ZONE_A, "127.0.0.1:0", index < 5));
        }
        return new Settings(
                HostId.of("h0"),
                ZONE_A,
                CLASS,
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                Optional.empty(),
                entries,
                1,
                Settings.Timings.defaults(),
                Settings.Bounds.defaults());
    }

    /** Returns a sheet with three ranks, the accounts {@code big} and {@code small}, and one limit for both. */
    public static Sheet sheet(double requestsPerSecond) {
        return new Sheet(
                1,
                "digest",
                Map.of(
                        AccountName.of("big"),
                        new ClientAccount(AccountName.of("big"), "k1", 1, requestsPerSecond, ALL_RANKS),
                        AccountName.of("small"),
                        new ClientAccount(AccountName.of("small"), "k2", 1, requestsPerSecond, ALL_RANKS)),
                Map.of(
                        RankName.of("urgent"), new Rank(RankName.of("urgent"), 700, 10_000, 10, 0.2),
                        RankName.of("normal"), new Rank(RankName.of("normal"), 3_000, 20_000, 3, 0.2),
                        RankName.of("batch"), new Rank(RankName.of("batch"), 30_000, 120_000, 1, 0.1)),
                Map.of(),
                List.of(
                        new Budget(ZONE_A, CLASS, 1, 100, true),
                        new Budget(ZONE_A, HostClass.of("large"), 3, 100, true),
                        new Budget(ZONE_B, CLASS, 1, 100, true)));
    }

    public Board board() {
        return board;
    }

    public long nowNanos() {
        return nowNanos;
    }

    /** Advances the clock, with a tick every 50 ms. */
    public void advanceMillis(long millis) {
        long until = nowNanos + millis * 1_000_000;
        while (nowNanos < until) {
            long step = Math.min(50_000_000, until - nowNanos);
            nowNanos += step;
            wallClockMillis += step / 1_000_000;
            run(new TimerEvent.Tick());
        }
    }

    /** Handles an event and returns the effects that it causes. */
    public List<Effect> run(Event event) {
        List<Effect> produced = cycle.run(event, nowNanos, wallClockMillis);
        effects.addAll(produced);
        return produced;
    }

    /** Adds an idle engine in zone a with a lease of one hour. */
    public ServerEntry engine(String name, int slots) {
        return announce(name, ZONE_A, 1, slots, LoadReport.idle());
    }

    /** Adds or renews an engine with a lease of one hour. */
    public ServerEntry announce(String name, AvailabilityZone zone, long incarnation, int slots, LoadReport load) {
        sequence++;
        Announcement announcement = new Announcement(
                ServerId.of(name),
                incarnation,
                sequence,
                "127.0.0.1:1",
                zone,
                CLASS,
                new ServerKind.ModelEngine(Set.of(MODEL), true, false),
                slots,
                load,
                false);
        return announce(announcement, 3_600_000);
    }

    /** Adds or renews a server. */
    public ServerEntry announce(Announcement announcement, long leaseMillis) {
        ServerEntry entry =
                board.servers().server(announcement.server()).orElseGet(() -> ServerEntry.create(announcement));
        board.servers().put(entry);
        entry.renew(announcement, nowNanos + leaseMillis * 1_000_000, nowNanos);
        run(new ServerEvent.ServerAnnounced(announcement, 0, 0));
        return entry;
    }

    /** Returns a streamed model call. */
    public Call modelCall(String id, String account, String rank) {
        return call(id, account, rank, new CallKind.Model(MODEL, 100, 50, List.of(), true), new Origin.Caller());
    }

    /**
     * Returns a call. Its content is the id up to a {@code #}, so that ids of one account that differ only after it
     * give the same fingerprint.
     */
    public Call call(String id, String account, String rank, CallKind kind, Origin origin) {
        String content = id.contains("#") ? id.substring(0, id.indexOf('#')) : id;
        return new Call(
                RequestId.of(id),
                AccountName.of(account),
                RankName.of(rank),
                kind,
                Content.of("application/json", content.getBytes(StandardCharsets.UTF_8)),
                Fingerprint.of(account + "/" + content),
                origin,
                nowNanos,
                nowNanos + 10_000_000_000L);
    }

    /** Handles the arrival of a call. */
    public List<Effect> arrive(Call call) {
        return run(new CallEvent.CallArrived(call));
    }

    /** Completes an attempt with status 200 and 10 tokens. */
    public List<Effect> complete(AttemptEffect.StartAttempt start) {
        return run(new AttemptEvent.AttemptCompleted(start.attempt(), 200, Option.none(), 10));
    }

    /** Fails an attempt with a problem, after the given number of tokens. */
    public List<Effect> fail(AttemptEffect.StartAttempt start, AttemptProblem problem, int tokens) {
        return run(new AttemptEvent.AttemptFailed(start.attempt(), problem, tokens));
    }

    /** Returns all effects since the start. */
    public List<Effect> effects() {
        return effects;
    }

    /** Returns attempts started so far. */
    public List<AttemptEffect.StartAttempt> starts() {
        return starts(effects);
    }

    /** Returns the attempts started by the given effects. */
    public static List<AttemptEffect.StartAttempt> starts(List<Effect> among) {
        return among.stream()
                .filter(AttemptEffect.StartAttempt.class::isInstance)
                .map(AttemptEffect.StartAttempt.class::cast)
                .toList();
    }

    /** Returns the first failure reported to the caller of a request, or empty if there is none. */
    public Optional<Failure> failure(String request) {
        return effects.stream()
                .filter(effect -> effect instanceof CallEffect.FailCall fail
                        && fail.request().equals(RequestId.of(request)))
                .map(effect -> ((CallEffect.FailCall) effect).failure())
                .findFirst();
    }

    /** Returns the sum of all counts of a metric so far. */
    public long counter(String metric) {
        return effects.stream()
                .filter(effect ->
                        effect instanceof CountEffect count && count.metric().equals(metric))
                .mapToLong(effect -> ((CountEffect) effect).amount())
                .sum();
    }

    /** Sets whether proposals to the control group are committed; otherwise they fail. */
    public void setMajority(boolean value) {
        majority = value;
    }

    /** Commits commands of the control group immediately, in place of the replicated group. */
    private final class ControlGroup implements Controller {
        @Override
        public void handle(Event event, Board on, long now, Effects result) {
            if (event instanceof ReplicationEvent.ProposalRequested requested && requested.group() == 0) {
                if (majority) {
                    CommandResult applied = on.configuration().state().apply(requested.command());
                    result.post(new ReplicationEvent.EntryApplied(0, 1, requested.command(), applied));
                    result.post(new ReplicationEvent.ProposalDecided(requested.proposalId(), applied));
                } else {
                    result.post(new ReplicationEvent.ProposalFailed(requested.proposalId(), ErrorKind.NO_QUORUM));
                }
            }
        }
    }
}
