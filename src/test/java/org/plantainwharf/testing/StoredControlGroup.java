package org.plantainwharf.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Content;
import org.plantainwharf.codec.ProtobufRecordCodec;
import org.plantainwharf.consensus.ConsensusController;
import org.plantainwharf.consensus.ProposalRefusal;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.control.ControlCycle;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.RegistryEffect;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.registry.DepartureController;
import org.plantainwharf.registry.RegistryController;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;
import org.plantainwharf.storage.BootstrapState;
import org.plantainwharf.storage.StorageWriter;

/**
 * The control group of one control daemon with a real log on disk and a virtual clock. Invariant: every write queued by an event
 * is synced before the next event is handled, unless {@link #stallDisk} was called. Not thread-safe.
 */
public final class StoredControlGroup implements AutoCloseable {
    private static final HostId HOST = HostId.of("127.0.0.1:1");
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int SYNC_TIMEOUT_SECONDS = 20;

    private final Path folder;
    private final BlockingQueue<Event> synced = new LinkedBlockingQueue<>();
    private final StorageWriter storage;
    private final ControlCycle cycle;
    private final List<RegistryEffect.AnswerServer> answers = new ArrayList<>();
    private long nowNanos;
    private long proposals;
    private long refusals;
    private boolean stalled;

    private StoredControlGroup(Path folder) {
        this.folder = folder;
        VoterId voter = VoterId.of(HOST, BootstrapState.INCARNATION);
        this.storage = StorageWriter.open(
                        folder,
                        ProtobufRecordCodec.create(),
                        new QueueSink(synced),
                        new BootstrapState(
                                BootstrapState.INCARNATION, 0, new ReplicaSnapshot(1, 1, List.of(voter), List.of())))
                .get();
        Board board = Board.create(Samples.settings(HOST.value()), 1, 7);
        this.cycle = ControlCycle.create(
                board,
                List.of(
                        RegistryController.relaying(),
                        DepartureController.create(),
                        ConsensusController.createForDiscoveredHosts(
                                board.settings(),
                                List.of(),
                                storage.diskIncarnation(),
                                storage.recover(0),
                                board.configuration().state(),
                                new SplittableRandom(1),
                                nowNanos)));
    }

    /** Passes the results of writes to the test. Thread-safe. */
    private record QueueSink(BlockingQueue<Event> queue) implements EventSink {
        @Override
        public boolean offer(Event event) {
            return queue.offer(event);
        }

        @Override
        public void post(Event event) {
            queue.add(event);
        }
    }

    /** Opens the folder, which may have content of an earlier run, and waits until the group has a leader. */
    public static StoredControlGroup open(Path folder) throws InterruptedException {
        StoredControlGroup group = new StoredControlGroup(folder);
        for (int tick = 0; tick < 100; tick++) {
            group.handle(new TimerEvent.Tick());
        }
        return group;
    }

    /** Proposes a document of a number of bytes that compress badly. Returns whether it was committed at once. */
    public boolean replaceDocument(long version, int bytes) throws InterruptedException {
        byte[] content = new byte[bytes];
        new SplittableRandom(version).nextBytes(content);
        long refusedBefore = refusals;
        handle(new ReplicationEvent.ProposalRequested(
                "document-" + ++proposals,
                0,
                new Command.ReplaceDocument(version, Content.of("application/json", content))));
        return refusals == refusedBefore && version == documentVersion();
    }

    public long documentVersion() {
        return cycle.board()
                .configuration()
                .state()
                .document()
                .map(StateRecord.Document::version)
                .orElse(0L);
    }

    /** Returns the number of proposals that the leader has refused. */
    public long refusals() {
        return refusals;
    }

    /** Lets all later writes wait. */
    public void stallDisk() {
        stalled = true;
    }

    /** Returns the size of all files in the folder. */
    public long bytesOnDisk() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(StoredControlGroup::size).sum();
        }
    }

    private static long size(Path file) {
        try {
            return Files.size(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the board of the only control daemon. */
    public Board board() {
        return cycle.board();
    }

    /** Returns the answers to servers so far, in order. */
    public List<RegistryEffect.AnswerServer> answers() {
        return answers;
    }

    /** Handles an event, and the results of the writes that it causes. */
    public void handle(Event event) throws InterruptedException {
        nowNanos += TICK_NANOS;
        int writes = run(event);
        while (writes > 0) {
            @Nullable Event result = synced.poll(SYNC_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            writes += run(Optional.ofNullable(result).orElseThrow()) - 1;
        }
    }

    /** Runs one cycle and returns the number of writes that it queued. */
    private int run(Event event) {
        int writes = 0;
        for (Effect effect : cycle.run(event, nowNanos, 0)) {
            if (effect instanceof StorageEffect write && !stalled) {
                storage.execute(write);
                writes++;
            } else if (effect instanceof CountEffect count
                    && count.metric().equals(ProposalRefusal.LOG_FULL.metricName())) {
                refusals++;
            } else if (effect instanceof RegistryEffect.AnswerServer answer) {
                answers.add(answer);
            }
        }
        return writes;
    }

    @Override
    public void close() throws InterruptedException {
        storage.close();
    }
}
