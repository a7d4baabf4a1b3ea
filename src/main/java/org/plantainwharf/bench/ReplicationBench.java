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
 * Measures the replicated log: on a virtual clock the time without a leader and the replication to learners, on real
 * files the storage writer. Figures on the virtual clock are equal in every run; those on files depend on the disk. Not
 * thread-safe.
 */
public final class ReplicationBench {
    private static final int SEED_COUNT = 41;
    private static final int WRITE_COUNT = 400;
    private static final int WAITING_PROPOSERS = 64;
    private static final int CHANGE_COUNT = 500;
    private static final int RESTART_COUNT = 11;

    private final PrintStream output;

    private ReplicationBench(PrintStream output) {
        this.output = output;
    }

    /** Runs the benchmark and prints all figures to standard output. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        run(System.out);
    }

    /** Runs the benchmark and prints all figures. Its files are in temporary folders that are deleted at the end. */
    public static void run(PrintStream output) throws IOException, InterruptedException {
        ReplicationBench bench = new ReplicationBench(output);
        bench.measureLeaderLoss();
        bench.measureLearners();
        bench.measureGroupCommit();
        bench.measureRestart();
    }

    private void measureLeaderLoss() {
        List<Long> gaps = new ArrayList<>();
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            VirtualGroup group =
                    VirtualGroup.create(seed, 5, 0, 0, ReplicaOptions.defaults(), VirtualGroup.Observer.none());
            group.runUntilLeader(millisToNanos(10_000));
            group.run(millisToNanos(1_000 + seed * 37));
            long crashNanos = group.nowNanos();
            group.crash(group.leader().orElseThrow());
            group.runUntilLeader(millisToNanos(20_000));
            gaps.add(group.nowNanos() - crashNanos);
        }
        output.printf(
                "leader killed, 5 voters, %d seeds: without leader median %d ms, largest %d ms%n",
                SEED_COUNT,
                nanosToMillis(median(gaps)),
                nanosToMillis(gaps.stream().max(Long::compare).orElse(0L)));
    }

    private void measureLearners() {
        ReplicaOptions options = ReplicaOptions.defaults();
        measureLearnerFeed("stream, renewed each 1000 ms", options);
        measureLearnerFeed("polling each 1000 ms", options.withLearnerStream(millisToNanos(1_000), 0));
        measureLearnerFeed("polling each 200 ms", options.withLearnerStream(millisToNanos(200), 0));
        measureLearnerFeed("polling each 50 ms", options.withLearnerStream(millisToNanos(50), 0));
    }

    private void measureLearnerFeed(String mode, ReplicaOptions options) {
        int learners = 20;
        // Not a multiple of any polling period, so that the changes fall on different phases of it.
        long intervalMillis = 977;
        int changes = 60;
        LearnerStreamMeter meter = LearnerStreamMeter.create();
        VirtualGroup group = VirtualGroup.create(7, 5, learners, 0, options, meter);
        group.runUntilLeader(millisToNanos(10_000));
        group.run(millisToNanos(5_000));
        meter.start(group);
        for (int change = 0; change < changes; change++) {
            group.propose(group.leader().orElseThrow(), new Command.Expire(change));
            group.run(millisToNanos(intervalMillis));
        }
        output.printf(
                "%s, %d learners, a change each %d ms: commit to applied median %d ms, largest %d ms; %d bytes/s each%n",
                mode,
                learners,
                intervalMillis,
                nanosToMillis(median(meter.applyDelayNanos())),
                nanosToMillis(
                        meter.applyDelayNanos().stream().max(Long::compare).orElse(0L)),
                meter.estimatedBytes() * 1_000 / learners / (changes * intervalMillis));
    }

    private void measureGroupCommit() throws IOException, InterruptedException {
        output.printf("one sync for each of %d commits: %d commits/s (median of 5)%n", WRITE_COUNT, commitRate(1));
        output.printf(
                "group commit, %d proposers waiting: %d commits/s (median of 5)%n",
                WAITING_PROPOSERS, commitRate(WAITING_PROPOSERS));
    }

    private long commitRate(int entriesInWrite) throws IOException, InterruptedException {
        List<Long> rates = new ArrayList<>();
        for (int repeat = 0; repeat < 5; repeat++) {
            Path folder = Files.createTempDirectory("replication-bench");
            BlockingQueue<Event> results = new LinkedBlockingQueue<>();
            StorageWriter writer = open(folder, 200, results);
            long start = System.nanoTime();
            for (int write = 0; write < WRITE_COUNT; write++) {
                writer.execute(entries(write + 1, 1 + (long) write * entriesInWrite, entriesInWrite));
                results.take();
            }
            long nanos = System.nanoTime() - start;
            rates.add(TimeUnit.SECONDS.toNanos(1) * WRITE_COUNT * entriesInWrite / nanos);
            writer.close();
            delete(folder);
        }
        return median(rates);
    }

    private void measureRestart() throws IOException, InterruptedException {
        output.printf(
                "restart after %d changes of 4 KiB without snapshot: %d us to read (median of %d)%n",
                CHANGE_COUNT, restartNanos(false) / 1_000, RESTART_COUNT);
        output.printf(
                "restart after %d changes of 4 KiB with a snapshot at the end and a tail of 64: %d us%n",
                CHANGE_COUNT, restartNanos(true) / 1_000);
    }

    private long restartNanos(boolean snapshot) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("replication-bench");
        BlockingQueue<Event> results = new LinkedBlockingQueue<>();
        StorageWriter first = open(folder, 4_096, results);
        first.execute(entries(1, 1, CHANGE_COUNT));
        if (snapshot) {
            HostId host = HostId.of("host");
            List<StateRecord> records = List.of(new StateRecord.Fencing(1, host, 1));
            first.execute(new StorageEffect.WriteSnapshot(
                    0, CHANGE_COUNT, 1, List.of(VoterId.of(host, 1)), records, CHANGE_COUNT - 63));
        }
        first.close();
        List<Long> times = new ArrayList<>();
        for (int repeat = 0; repeat < RESTART_COUNT; repeat++) {
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
        return StorageWriter.open(folder, FixedSizeCodec.create(size), sink).get();
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

    private static long millisToNanos(long count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }

    private static long nanosToMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
