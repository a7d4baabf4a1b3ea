package org.plantainwharf.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.plantainwharf.consensus.ReplicaOptions;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.storage.StorageWriter;

/**
 * Measures the replicated log: on a virtual clock the time without a leader and the feeding of learners, on real files
 * the storage writer. The virtual figures are equal in every run; those on files depend on the disk.
 */
public final class ReplicationBench {
    private static final int SEEDS = 41;
    private static final int WRITES = 400;
    private static final int WAITING = 64;
    private static final int CHANGES = 500;
    private static final int REPEATS = 11;

    private final PrintStream out;

    private ReplicationBench(PrintStream out) {
        this.out = out;
    }

    /** Prints all figures to standard output. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        run(System.out);
    }

    /** Prints all figures. Files go to a temporary folder, which is deleted. */
    public static void run(PrintStream out) throws IOException, InterruptedException {
        ReplicationBench bench = new ReplicationBench(out);
        bench.leaderLoss();
        bench.learners();
        bench.groupCommit();
        bench.restart();
    }

    private void leaderLoss() {
        List<Long> gaps = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            VirtualGroup group =
                    VirtualGroup.create(seed, 5, 0, 0, ReplicaOptions.defaults(), VirtualGroup.Watcher.none());
            group.runUntilLeader(millis(10_000));
            group.run(millis(1_000 + seed * 37));
            long killed = group.nowNanos();
            group.crash(group.leader().orElseThrow());
            group.runUntilLeader(millis(20_000));
            gaps.add(group.nowNanos() - killed);
        }
        out.printf(
                "leader killed, 5 voters, %d seeds: without leader median %d ms, largest %d ms%n",
                SEEDS,
                milliseconds(median(gaps)),
                milliseconds(gaps.stream().max(Long::compare).orElse(0L)));
    }

    private void learners() {
        ReplicaOptions options = ReplicaOptions.defaults();
        feed("stream, renewed each 1000 ms", options);
        feed("polling each 1000 ms", options.withLearners(millis(1_000), 0));
        feed("polling each 200 ms", options.withLearners(millis(200), 0));
        feed("polling each 50 ms", options.withLearners(millis(50), 0));
    }

    private void feed(String way, ReplicaOptions options) {
        int learners = 20;
        // Not a multiple of a polling period, so that changes meet every phase of it.
        long intervalMillis = 977;
        int changes = 60;
        StreamMeter meter = StreamMeter.create();
        VirtualGroup group = VirtualGroup.create(7, 5, learners, 0, options, meter);
        group.runUntilLeader(millis(10_000));
        group.run(millis(5_000));
        meter.watch(group);
        for (int change = 0; change < changes; change++) {
            group.propose(group.leader().orElseThrow(), new Command.Expire(change));
            group.run(millis(intervalMillis));
        }
        out.printf(
                "%s, %d learners, a change each %d ms: commit to applied median %d ms, largest %d ms; %d bytes/s each%n",
                way,
                learners,
                intervalMillis,
                milliseconds(median(meter.delays())),
                milliseconds(meter.delays().stream().max(Long::compare).orElse(0L)),
                meter.bytes() * 1_000 / learners / (changes * intervalMillis));
    }

    private void groupCommit() throws IOException, InterruptedException {
        out.printf("one sync for each of %d commits: %d commits/s (median of 5)%n", WRITES, commitRate(1));
        out.printf("group commit, %d proposers waiting: %d commits/s (median of 5)%n", WAITING, commitRate(WAITING));
    }

    private long commitRate(int entriesInWrite) throws IOException, InterruptedException {
        List<Long> rates = new ArrayList<>();
        for (int repeat = 0; repeat < 5; repeat++) {
            Path folder = Files.createTempDirectory("replication-bench");
            BlockingQueue<Event> results = new LinkedBlockingQueue<>();
            StorageWriter writer = open(folder, 200, results);
            long start = System.nanoTime();
            for (int write = 0; write < WRITES; write++) {
                writer.execute(entries(write + 1, 1 + (long) write * entriesInWrite, entriesInWrite));
                results.take();
            }
            long nanos = System.nanoTime() - start;
            rates.add(TimeUnit.SECONDS.toNanos(1) * WRITES * entriesInWrite / nanos);
            writer.close();
            delete(folder);
        }
        return median(rates);
    }

    private void restart() throws IOException, InterruptedException {
        out.printf(
                "restart after %d changes of 4 KiB without snapshot: %d us to read (median of %d)%n",
                CHANGES, restartNanos(false) / 1_000, REPEATS);
        out.printf(
                "restart after %d changes of 4 KiB with a snapshot at the end and a tail of 64: %d us%n",
                CHANGES, restartNanos(true) / 1_000);
    }

    private long restartNanos(boolean snapshot) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("replication-bench");
        BlockingQueue<Event> results = new LinkedBlockingQueue<>();
        StorageWriter first = open(folder, 4_096, results);
        first.execute(entries(1, 1, CHANGES));
        if (snapshot) {
            HostId host = HostId.of("host");
            List<StateRecord> records = List.of(new StateRecord.Fencing(1, host, 1));
            first.execute(new StorageEffect.WriteSnapshot(
                    0, CHANGES, 1, List.of(VoterId.of(host, 1)), records, CHANGES - 63));
        }
        first.close();
        List<Long> times = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            long start = System.nanoTime();
            StorageWriter writer = open(folder, 4_096, results);
            writer.recover(0);
            times.add(System.nanoTime() - start);
            writer.close();
        }
        delete(folder);
        return median(times);
    }

    private static StorageEffect.WriteLog entries(long number, long from, int count) {
        List<ReplicaEntry> entries = LongStream.range(from, from + count)
                .mapToObj(index -> ReplicaEntry.of(index, 1, new Command.Expire(index)))
                .toList();
        return new StorageEffect.WriteLog(0, number, 1, "", 0, entries);
    }

    private static StorageWriter open(Path folder, int size, BlockingQueue<Event> results) {
        EventSink sink = new EventSink() {
            @Override
            public boolean offer(Event event) {
                return results.offer(event);
            }

            @Override
            public void post(Event event) {
                results.add(event);
            }
        };
        return StorageWriter.open(folder, FixedCodec.create(size), sink).get();
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private static long median(List<Long> values) {
        List<Long> sorted = values.stream().sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
    }

    private static long millis(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }

    private static long milliseconds(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
