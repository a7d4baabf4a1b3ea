package org.plantainwharf.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.Supplier;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.plantainwharf.board.Board;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.membership.MembershipController;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;
import org.plantainwharf.message.ServerLease;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerController;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

/**
 * Measures the cost of links, membership and the server registry as slopes for the capacity page: bytes on the wire,
 * processor time and heap for each message or entry. Prints one line for each figure; processor time and heap are medians of
 * several runs and vary with the machine, bytes are the same in every run. Not thread-safe.
 */
public final class LinkBench {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    /** Size of the length prefix of a frame. */
    private static final int LENGTH_PREFIX_BYTES = 4;

    private static final HostId SELF = HostId.of("entry-host-000");
    private static final AvailabilityZone ZONE = AvailabilityZone.of("region-1-a");
    private static final HostClass HOST_CLASS = HostClass.of("gpu-large");
    private static final RankName RANK = RankName.of("urgent");

    private final PeerMessageCodec codec = PeerMessageCodec.create();
    private final ThreadMXBean threadBean = ManagementFactory.getThreadMXBean();
    private final PrintStream output;
    private final int runs;
    private final int repetitions;

    private LinkBench(PrintStream output, int runs, int repetitions) {
        this.output = output;
        this.runs = runs;
        this.repetitions = repetitions;
    }

    /** Runs the benchmark and ends the process with its exit code. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    /** Runs the benchmark. Returns the exit code: 0 on success, 1 on an I/O error, 2 for invalid options. */
    public static int run(String[] arguments) {
        return run(arguments, System.out, System.err);
    }

    static int run(String[] arguments, PrintStream output, PrintStream errors) {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> runs = parser.accepts("runs", "number of runs of each measurement")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(9);
        OptionSpec<Integer> repetitions = parser.accepts("repeats", "number of repetitions in one run")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(20_000);
        OptionSpec<Void> help = parser.accepts("help", "show this help").forHelp();
        try {
            OptionSet options = parser.parse(arguments);
            if (options.has(help)) {
                parser.printHelpOn(output);
                return 0;
            }
            new LinkBench(output, options.valueOf(runs), options.valueOf(repetitions)).measure();
            return 0;
        } catch (OptionException e) {
            errors.println(e.getMessage());
            return EXIT_USAGE;
        } catch (IOException | UncheckedIOException e) {
            errors.println(e.getMessage());
            return EXIT_FAILED;
        }
    }

    private void measure() {
        measureBytes();
        measureCodec();
        measureEventHandling();
        measureHeap();
    }

    private void measureBytes() {
        printFigure("bytes of a heartbeat frame", frameBytes(heartbeat()), "B");
        printFigure("bytes of a lease relay without leases", frameBytes(leases(0)), "B");
        printFigure(
                "bytes of each server lease relayed", (frameBytes(leases(200)) - frameBytes(leases(100))) / 100.0, "B");
        printFigure("bytes of a configuration change, 5 accounts", frameBytes(configurationChange(5)), "B");
        printFigure(
                "bytes of each account in it",
                (frameBytes(configurationChange(105)) - frameBytes(configurationChange(5))) / 100.0,
                "B");
    }

    private double frameBytes(PeerMessage message) {
        return LENGTH_PREFIX_BYTES + codec.encode(message).length;
    }

    private void measureCodec() {
        Map<String, PeerMessage> messages = new java.util.LinkedHashMap<>();
        messages.put("a heartbeat", heartbeat());
        messages.put("a relay of 100 leases", leases(100));
        messages.put("a configuration change, 5 accounts", configurationChange(5));
        messages.forEach((name, message) -> {
            byte[] bytes = codec.encode(message);
            int count = message instanceof PeerMessage.ServerLeases ? repetitions / 20 : repetitions;
            printFigure(
                    "processor time to encode " + name,
                    meanProcessorMicros(count, index -> codec.encode(message)),
                    "us");
            printFigure(
                    "processor time to decode " + name, meanProcessorMicros(count, index -> codec.decode(bytes)), "us");
        });
    }

    /** Measures event handling at the planned size: 64 links and the 612 servers of one zone. */
    private void measureEventHandling() {
        int links = 64;
        int servers = 612;
        ControlCycle cycle = createCycle(links);
        long[] nowNanos = {1_000_000_000L};
        for (int peer = 1; peer <= links; peer++) {
            cycle.run(new PeerEvent.PeerConnected(host(peer), ZONE, 1), nowNanos[0], 0);
        }
        cycle.run(messageReceived(1, leases(servers)), nowNanos[0], 0);
        printFigure(
                "processor time to handle a heartbeat",
                meanProcessorMicros(
                        repetitions,
                        index -> cycle.run(
                                messageReceived(1 + index % links, new PeerMessage.Heartbeat(index + 1L, 1, 1, false)),
                                nowNanos[0],
                                0)),
                "us");
        PeerMessage relay = leases(100);
        printFigure(
                "processor time to handle a relay of 100 leases",
                meanProcessorMicros(repetitions / 20, index -> cycle.run(messageReceived(1, relay), nowNanos[0], 0)),
                "us");
        printFigure(
                "processor time of a tick, one in five with 64 heartbeats",
                meanProcessorMicros(repetitions / 4, index -> {
                    nowNanos[0] += 50_000_000;
                    // Without traffic the links would be closed as silent.
                    if (index % 20 == 0) {
                        for (int peer = 1; peer <= links; peer++) {
                            cycle.run(messageReceived(peer, heartbeat()), nowNanos[0], 0);
                        }
                    }
                    return cycle.run(new TimerEvent.Tick(), nowNanos[0], 0);
                }),
                "us");
    }

    private void measureHeap() {
        int entryCount = 20_000;
        printFigure(
                "heap of each server entry",
                heapBytesPerEntry(entryCount, () -> {
                    ControlCycle cycle = createCycle(1);
                    cycle.run(new PeerEvent.PeerConnected(host(1), ZONE, 1), 0, 0);
                    for (int first = 0; first < entryCount; first += 1_000) {
                        // Decoded messages share no strings, as on a real link.
                        byte[] bytes = codec.encode(leases(first, first + 1_000));
                        cycle.run(messageReceived(1, codec.decode(bytes).get()), 0, 0);
                    }
                    return cycle;
                }),
                "B");
        printFigure(
                "heap of each member",
                heapBytesPerEntry(entryCount, () -> {
                    ControlCycle cycle = createCycle(1);
                    for (int peer = 1; peer <= entryCount; peer++) {
                        cycle.run(new PeerEvent.PeerConnected(host(peer), ZONE, 1), 0, 0);
                        cycle.run(messageReceived(peer, heartbeat()), 0, 0);
                    }
                    return cycle;
                }),
                "B");
    }

    private double meanProcessorMicros(int count, IntFunction<Object> action) {
        double[] means = new double[runs];
        int resultSink = 0;
        for (int index = 0; index < count; index++) {
            resultSink += System.identityHashCode(action.apply(index)) & 1;
        }
        for (int run = 0; run < runs; run++) {
            long before = threadBean.getCurrentThreadCpuTime();
            for (int index = 0; index < count; index++) {
                resultSink += action.apply(index) == null ? 1 : 0;
            }
            means[run] = (threadBean.getCurrentThreadCpuTime() - before) / 1_000.0 / count;
        }
        return resultSink < 0 ? -1 : median(means);
    }

    private double heapBytesPerEntry(int count, Supplier<Object> build) {
        double[] bytesPerEntry = new double[runs];
        List<Object> retained = new ArrayList<>();
        for (int run = 0; run < runs; run++) {
            long before = usedHeapBytes();
            retained.add(build.get());
            bytesPerEntry[run] = (double) (usedHeapBytes() - before) / count;
            retained.clear();
        }
        return median(bytesPerEntry);
    }

    private static long usedHeapBytes() {
        // One collection may leave objects that only the next one finds unreachable.
        for (int round = 0; round < 3; round++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    private void printFigure(String name, double value, String unit) {
        output.printf(Locale.ROOT, "%-58s %12.2f %s%n", name, value, unit);
    }

    private static HostId host(int number) {
        return HostId.of(String.format(Locale.ROOT, "entry-host-%03d", number));
    }

    private static Event messageReceived(int peer, PeerMessage message) {
        return new PeerEvent.PeerMessageReceived(host(peer), 1, message);
    }

    private static PeerMessage heartbeat() {
        return new PeerMessage.Heartbeat(1L << 39, 1L << 38, 21_000, false);
    }

    private static PeerMessage.ServerLeases leases(int count) {
        return leases(0, count);
    }

    private static PeerMessage.ServerLeases leases(int from, int to) {
        List<ServerLease> leases = new ArrayList<>();
        for (int server = from; server < to; server++) {
            leases.add(new ServerLease(
                    new Announcement(
                            ServerId.of(String.format(Locale.ROOT, "engine-%05d", server)),
                            1_764_835_200_000L,
                            3_600,
                            "10.20.30.40:8080",
                            ZONE,
                            HOST_CLASS,
                            new ServerKind.ModelEngine(Set.of(ModelName.of("timber-report-8b")), true, true),
                            16,
                            new LoadReport(12, 3, 400),
                            false),
                    2_000));
        }
        return new PeerMessage.ServerLeases(1L << 38, leases);
    }

    private static PeerMessage configurationChange(int accountCount) {
        Map<AccountName, ClientAccount> accounts = new HashMap<>();
        for (int index = 0; index < accountCount; index++) {
            AccountName name = AccountName.of(String.format(Locale.ROOT, "account-%04d", index));
            accounts.put(name, new ClientAccount(name, "0".repeat(64), 1, 50, Set.of(RANK)));
        }
        Sheet sheet = new Sheet(
                21_000,
                "0".repeat(64),
                accounts,
                Map.of(RANK, new Rank(RANK, 500, 2_000, 10, 0.3)),
                Map.of(),
                List.of(new Budget(ZONE, HOST_CLASS, 1.5, 30, true)));
        return new PeerMessage.Replication(
                0,
                new ReplicaMessage.AppendRequest(
                        7,
                        VoterId.of(SELF, 1),
                        100_000,
                        7,
                        List.of(ReplicaEntry.of(100_001, 7, new Command.ApplySheet(sheet))),
                        100_000,
                        5_000));
    }

    private static ControlCycle createCycle(int links) {
        List<Settings.HostEntry> hosts = new ArrayList<>();
        hosts.add(new Settings.HostEntry(SELF, ZONE, "127.0.0.1:1", false));
        for (int peer = 1; peer <= links; peer++) {
            hosts.add(new Settings.HostEntry(host(peer), ZONE, "127.0.0.1:1", false));
        }
        Settings settings = new Settings(
                SELF,
                ZONE,
                HOST_CLASS,
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                Optional.empty(),
                hosts,
                1,
                Settings.Timings.defaults(),
                Settings.Bounds.defaults());
        return ControlCycle.create(
                Board.create(settings, 1, 1), List.of(MembershipController.create(), ServerController.create()));
    }
}
