package org.plantainwharf.bench;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Option;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.Event;
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
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Sheet;

/**
 * Measures the processor time of the control thread for a request, an announcement and a tick at several numbers of
 * servers, so that slopes can be read off, and the heap for each server and each queued call. Not thread-safe.
 */
final class RequestPathBenchmark {
    private static final int[] SERVER_COUNTS = {10, 100, 1_000, 4_900};
    private static final int REQUEST_COUNT = 40_000;
    private static final int TICK_COUNT = 400;
    private static final int QUEUED_CALL_COUNT = 20_000;
    private static final int EVENTS_PER_REQUEST = 5;
    private static final long DEADLINE_NANOS = 3_600_000_000_000L;
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone");
    private static final HostClass HOST_CLASS = HostClass.of("class");
    private static final AccountName ACCOUNT = AccountName.of("account");

    private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
    private final ControlCycle cycle;
    private final List<Announcement> announcements = new ArrayList<>();
    private long nowNanos = 1_000_000_000L;
    private long requestCount;

    private RequestPathBenchmark(int servers, int slots) {
        Settings settings = new Settings(
                HostId.of("host"),
                ZONE,
                HOST_CLASS,
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                Optional.empty(),
                List.of(new Settings.HostEntry(HostId.of("host"), ZONE, "127.0.0.1:0", true)),
                1,
                Settings.Timings.defaults(),
                new Settings.Bounds(1 << 20, 1 << 14, 1 << 20, 10_000, 1 << 30, 1 << 30, 256));
        Board board = Board.create(settings, 1, 1);
        Set<RankName> ranks = Set.of(Workload.BATCH.name());
        board.configuration()
                .putInForce(new Sheet(
                        1,
                        "digest",
                        Map.of(ACCOUNT, new ClientAccount(ACCOUNT, "", 1, 1e9, ranks)),
                        Map.of(Workload.BATCH.name(), Workload.BATCH),
                        Map.of(),
                        List.of(new Budget(ZONE, HOST_CLASS, 1, 1, true))));
        this.cycle = ControlCycle.create(board, new Policy.ProductControllers().controllers());
        for (int server = 0; server < servers; server++) {
            announcements.add(new Announcement(
                    ServerId.of("server-" + server),
                    1,
                    1,
                    "127.0.0.1:1",
                    ZONE,
                    HOST_CLASS,
                    new ServerKind.ModelEngine(Set.of(Workload.MODEL), true, false),
                    slots,
                    LoadReport.idle(),
                    false));
        }
        announcements.forEach(this::announce);
    }

    /** Measures and prints one line for each number of servers, then the heap of a queued call. */
    static void measure(PrintStream output) {
        output.println("servers  request us  event us  announcement us  tick us  heap per server B");
        for (int warmUp = 0; warmUp < 2; warmUp++) {
            new RequestPathBenchmark(SERVER_COUNTS[1], 8).requestMicros();
        }
        for (int servers : SERVER_COUNTS) {
            long before = usedHeapBytes();
            RequestPathBenchmark benchmark = new RequestPathBenchmark(servers, 8);
            long after = usedHeapBytes();
            double request = benchmark.requestMicros();
            output.printf(
                    Locale.ROOT,
                    "%7d  %10.1f  %8.2f  %15.2f  %7.1f  %17d%n",
                    servers,
                    request,
                    request / EVENTS_PER_REQUEST,
                    benchmark.announcementMicros(),
                    benchmark.tickMicros(),
                    (after - before) / servers);
        }
        RequestPathBenchmark benchmark = new RequestPathBenchmark(1, 1);
        long before = usedHeapBytes();
        for (int call = 0; call < QUEUED_CALL_COUNT; call++) {
            benchmark.submitCall();
        }
        long after = usedHeapBytes();
        output.printf(
                Locale.ROOT,
                "heap per queued call %d B (%d calls queued; body of 5 B included)%n",
                (after - before) / QUEUED_CALL_COUNT,
                benchmark.cycle.board().admission().queued());
    }

    /** Returns the heap in use after garbage collection, as the least of three readings. */
    private static long usedHeapBytes() {
        long used = Long.MAX_VALUE;
        for (int round = 0; round < 3; round++) {
            System.gc();
            used = Math.min(
                    used,
                    ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        }
        return used;
    }

    private void announce(Announcement announcement) {
        Board board = cycle.board();
        ServerEntry entry =
                board.servers().server(announcement.server()).orElseGet(() -> ServerEntry.create(announcement));
        board.servers().put(entry);
        entry.renew(announcement, nowNanos + DEADLINE_NANOS, nowNanos);
        run(new ServerEvent.ServerAnnounced(announcement, 0, 0));
    }

    private List<Effect> run(Event event) {
        return cycle.run(event, nowNanos, nowNanos / 1_000_000);
    }

    private List<Effect> submitCall() {
        requestCount++;
        RequestId id = RequestId.of("request-" + requestCount);
        return run(new CallEvent.CallArrived(new Call(
                id,
                ACCOUNT,
                Workload.BATCH.name(),
                new CallKind.Model(Workload.MODEL, 400, 60, List.of(requestCount, requestCount + 1), true),
                Content.of("text/plain", "hello".getBytes(StandardCharsets.UTF_8)),
                Fingerprint.of(id.value()),
                new Origin.Caller(),
                nowNanos,
                nowNanos + DEADLINE_NANOS)));
    }

    /** Returns the mean processor time of a request with its five events, in microseconds. */
    private double requestMicros() {
        long start = threadBean.getCurrentThreadCpuTime();
        for (int request = 0; request < REQUEST_COUNT; request++) {
            nowNanos += 1_000_000;
            for (Effect effect : submitCall()) {
                if (effect instanceof AttemptEffect.StartAttempt attempt) {
                    run(new AttemptEvent.AttemptSent(attempt.attempt()));
                    run(new AttemptEvent.FirstTokenReceived(attempt.attempt()));
                    run(new AttemptEvent.TokensReceived(attempt.attempt(), 30));
                    run(new AttemptEvent.AttemptCompleted(attempt.attempt(), 200, Option.none(), 60));
                }
            }
        }
        return (threadBean.getCurrentThreadCpuTime() - start) / 1e3 / REQUEST_COUNT;
    }

    private double announcementMicros() {
        int rounds = Math.max(1, 10_000 / announcements.size());
        long start = threadBean.getCurrentThreadCpuTime();
        for (int round = 0; round < rounds; round++) {
            announcements.forEach(this::announce);
        }
        return (threadBean.getCurrentThreadCpuTime() - start) / 1e3 / rounds / announcements.size();
    }

    private double tickMicros() {
        long start = threadBean.getCurrentThreadCpuTime();
        for (int tick = 0; tick < TICK_COUNT; tick++) {
            nowNanos += 50_000_000;
            run(new TimerEvent.Tick());
        }
        return (threadBean.getCurrentThreadCpuTime() - start) / 1e3 / TICK_COUNT;
    }
}
