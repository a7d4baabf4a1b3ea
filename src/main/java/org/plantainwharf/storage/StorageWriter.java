package org.plantainwharf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.StorageEvent;

/**
 * Writes the replicated logs of one host to its data folder on a dedicated thread. Log writes that are queued while a
 * sync runs are written together and synced once for each group. After the first failed write nothing more is written:
 * the content of the disk is unknown from then on, so every write is reported as failed until a restart.
 *
 * <p>Thread-safe: {@link #execute} may be called from any thread and does not block. The queue needs no bound, because
 * each group has at most one log write in flight.
 */
public final class StorageWriter {
    /** Name of the thread. */
    public static final String THREAD_NAME = "storage";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Pattern GROUP_FILE = Pattern.compile("group-(\\d{1,6})\\.(log|snapshot)");
    private static final String IDENTITY = "identity";

    private final Path folder;
    private final RecordCodec codec;
    private final EventSink sink;
    private final FileAccess files;
    private final long diskIncarnation;
    private final Map<Integer, GroupFiles> groups;
    private final BlockingQueue<Task> queue = new LinkedBlockingQueue<>();
    private final Thread thread = new Thread(this::run, THREAD_NAME);
    private @Nullable String failure;

    /** A task of the storage thread. */
    private sealed interface Task {
        /** Executes a write. */
        record Write(StorageEffect effect) implements Task {}

        /** Ends the thread after all earlier tasks. */
        record Close() implements Task {}
    }

    private StorageWriter(
            Path folder,
            RecordCodec codec,
            EventSink sink,
            FileAccess files,
            long diskIncarnation,
            Map<Integer, GroupFiles> groups) {
        this.folder = folder;
        this.codec = codec;
        this.sink = sink;
        this.files = files;
        this.diskIncarnation = diskIncarnation;
        this.groups = groups;
    }

    /**
     * Opens a data folder, reads all groups in it and starts the thread. An empty folder gets a new random identity.
     *
     * @return the writer, {@code LOG_CORRUPT} for a corrupt file, or {@code STORAGE_FAILED} if the folder cannot be used
     */
    public static Either<Failure, StorageWriter> open(Path folder, RecordCodec codec, EventSink sink) {
        return open(folder, codec, sink, FileAccess.createDefault());
    }

    /**
     * Opens a data folder like {@link #open(Path, RecordCodec, EventSink)}, but initializes an empty one as the disk of a
     * first voter.
     */
    public static Either<Failure, StorageWriter> open(
            Path folder, RecordCodec codec, EventSink sink, BootstrapState bootstrapState) {
        return open(folder, codec, sink, FileAccess.createDefault(), Optional.of(bootstrapState));
    }

    static Either<Failure, StorageWriter> open(Path folder, RecordCodec codec, EventSink sink, FileAccess files) {
        return open(folder, codec, sink, files, Optional.empty());
    }

    static Either<Failure, StorageWriter> open(
            Path folder, RecordCodec codec, EventSink sink, FileAccess files, Optional<BootstrapState> bootstrapState) {
        try {
            Files.createDirectories(folder);
            Map<Integer, GroupFiles> groups = new TreeMap<>();
            for (int group : listGroups(folder)) {
                Either<Failure, GroupFiles> opened = GroupFiles.open(folder, group, codec, files);
                if (opened.isLeft()) {
                    return Either.left(opened.getLeft());
                }
                groups.put(group, opened.get());
            }
            Either<Failure, Long> identity = readOrCreateIdentity(folder, files, groups.isEmpty(), bootstrapState);
            if (identity.isRight() && bootstrapState.isPresent()) {
                Optional<Failure> failure =
                        bootstrapGroup(bootstrapState.get(), identity.get(), folder, codec, files, groups);
                if (failure.isPresent()) {
                    return Either.left(failure.get());
                }
            }
            return identity.map(incarnation -> {
                StorageWriter writer = new StorageWriter(folder, codec, sink, files, incarnation, groups);
                writer.thread.start();
                return writer;
            });
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.STORAGE_FAILED, e));
        }
    }

    /** Queues a write. Its result is posted to the sink. */
    public void execute(StorageEffect effect) {
        queue.add(new Task.Write(effect));
    }

    /**
     * Returns the content of a group that was found when the folder was opened; it is empty for an unknown group. Must
     * be called before the group's first write.
     */
    public RecoveredGroup recover(int group) {
        @Nullable GroupFiles known = groups.get(group);
        return known == null ? RecoveredGroup.empty() : known.content();
    }

    /** Returns the number that identifies this disk. It is never 0, and random except on the disk of a first voter. */
    public long diskIncarnation() {
        return diskIncarnation;
    }

    /** Executes the writes queued so far, then ends the thread and closes the files. */
    public void close() throws InterruptedException {
        queue.add(new Task.Close());
        thread.join();
    }

    private static Set<Integer> listGroups(Path folder) throws IOException {
        Set<Integer> numbers = new LinkedHashSet<>();
        try (Stream<Path> paths = Files.list(folder)) {
            for (Path path : paths.sorted().toList()) {
                Matcher matcher = GROUP_FILE.matcher(String.valueOf(path.getFileName()));
                if (matcher.matches()) {
                    numbers.add(Integer.parseInt(matcher.group(1)));
                }
            }
        }
        return numbers;
    }

    /**
     * Writes the initial content of the group, unless the disk has the group already or another incarnation than that of
     * a first voter. A crash before this leaves the identity without the group, and the next open writes the content.
     * That is safe, because no vote and no entry has been acknowledged under the identity yet.
     */
    private static Optional<Failure> bootstrapGroup(
            BootstrapState bootstrapState,
            long incarnation,
            Path folder,
            RecordCodec codec,
            FileAccess files,
            Map<Integer, GroupFiles> groups)
            throws IOException {
        if (incarnation != bootstrapState.incarnation() || groups.containsKey(bootstrapState.group())) {
            return Optional.empty();
        }
        Either<Failure, GroupFiles> opened = GroupFiles.open(folder, bootstrapState.group(), codec, files);
        if (opened.isLeft()) {
            return Optional.of(opened.getLeft());
        }
        ReplicaSnapshot snapshot = bootstrapState.snapshot();
        opened.get()
                .append(List.of(
                        new StorageEffect.WriteLog(bootstrapState.group(), 0, snapshot.lastTerm(), "", 0, List.of())));
        opened.get().force();
        opened.get()
                .writeSnapshot(new StorageEffect.WriteSnapshot(
                        bootstrapState.group(),
                        snapshot.lastIndex(),
                        snapshot.lastTerm(),
                        snapshot.voters(),
                        snapshot.records(),
                        snapshot.lastIndex() + 1));
        groups.put(bootstrapState.group(), opened.get());
        return Optional.empty();
    }

    private static Either<Failure, Long> readOrCreateIdentity(
            Path folder, FileAccess files, boolean empty, Optional<BootstrapState> bootstrapState) throws IOException {
        Path file = folder.resolve(IDENTITY);
        try (RecordReader records = files.read(file)) {
            Optional<byte[]> stored = records.next();
            boolean whole = stored.isPresent()
                    && stored.get().length == Long.BYTES
                    && records.next().isEmpty();
            if (whole) {
                return Either.right(ByteBuffer.wrap(stored.get()).getLong());
            }
            if (stored.isPresent() || records.hasTail()) {
                return Either.left(Failure.of(ErrorKind.LOG_CORRUPT, IDENTITY, 0));
            }
        }
        if (!empty) {
            // Logs without their identity must not vote under a new one.
            return Either.left(Failure.of(ErrorKind.LOG_CORRUPT, IDENTITY, 0));
        }
        long incarnation = bootstrapState.map(BootstrapState::incarnation).orElseGet(StorageWriter::randomIncarnation);
        byte[] payload = ByteBuffer.allocate(Long.BYTES).putLong(incarnation).array();
        Path temporaryFile = folder.resolve(IDENTITY + ".new");
        files.replaceContent(
                temporaryFile, List.of(RecordFraming.encode(payload)).iterator());
        files.rename(temporaryFile, file);
        return Either.right(incarnation);
    }

    /** Returns a random number that is neither 0, which stands for no disk, nor the incarnation of first voters. */
    private static long randomIncarnation() {
        SecureRandom random = new SecureRandom();
        long incarnation = 0;
        while (incarnation == 0 || incarnation == BootstrapState.INCARNATION) {
            incarnation = random.nextLong();
        }
        return incarnation;
    }

    private void run() {
        boolean open = true;
        while (open) {
            try {
                List<Task> tasks = new ArrayList<>();
                tasks.add(queue.take());
                queue.drainTo(tasks);
                open = !tasks.contains(new Task.Close());
                process(tasks.stream()
                        .filter(Task.Write.class::isInstance)
                        .map(task -> ((Task.Write) task).effect())
                        .toList());
            } catch (InterruptedException e) {
                LOGGER.atWarning().log("event=storage_interrupted");
            }
        }
        try {
            files.close();
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("event=storage_close_failed");
        }
    }

    /** Executes writes in order. The log writes before each snapshot, and those after the last, are batched. */
    private void process(List<StorageEffect> effects) {
        Map<Integer, List<StorageEffect.WriteLog>> logs = new LinkedHashMap<>();
        for (StorageEffect effect : effects) {
            switch (effect) {
                case StorageEffect.WriteLog write ->
                    logs.computeIfAbsent(write.group(), group -> new ArrayList<>())
                            .add(write);
                case StorageEffect.WriteSnapshot write -> {
                    writeLogs(logs);
                    logs.clear();
                    writeSnapshot(write);
                }
            }
        }
        writeLogs(logs);
    }

    private void writeLogs(Map<Integer, List<StorageEffect.WriteLog>> logs) {
        try {
            if (failure == null) {
                for (Map.Entry<Integer, List<StorageEffect.WriteLog>> entry : logs.entrySet()) {
                    files(entry.getKey()).append(entry.getValue());
                }
                for (int group : logs.keySet()) {
                    files(group).force();
                }
            }
        } catch (IOException | RuntimeException e) {
            fail(e);
        }
        logs.forEach((group, writes) -> report(
                group, new StorageEvent.WriteSynced(group, writes.getLast().writeNumber())));
    }

    private void writeSnapshot(StorageEffect.WriteSnapshot write) {
        try {
            if (failure == null) {
                files(write.group()).writeSnapshot(write);
            }
        } catch (IOException | RuntimeException e) {
            fail(e);
        }
        report(write.group(), new StorageEvent.SnapshotSynced(write.group(), write.lastIndex()));
    }

    private void fail(Exception cause) {
        LOGGER.atSevere().withCause(cause).log("event=storage_failed");
        failure = String.valueOf(cause.getMessage());
    }

    private void report(int group, StorageEvent success) {
        sink.post(failure == null ? success : new StorageEvent.WriteFailed(group, failure));
    }

    private GroupFiles files(int group) throws IOException {
        @Nullable GroupFiles known = groups.get(group);
        if (known != null) {
            return known;
        }
        Either<Failure, GroupFiles> created = GroupFiles.open(folder, group, codec, files);
        if (created.isLeft()) {
            throw new IOException(created.getLeft().message());
        }
        groups.put(group, created.get());
        return created.get();
    }
}
