package org.plantainwharf.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.message.ReplicaEntry;

/**
 * Log and snapshot file of one group, with their content in memory for the next rewrite. The log is a sequence of
 * steps that give the state when read in order; a snapshot makes it be written anew. Owned by the storage writer's
 * thread once opened.
 */
final class GroupFiles {
    private final Path log;
    private final Path snapshotFile;
    private final LogSteps steps;
    private final FileAccess files;
    private final List<ReplicaEntry> entries = new ArrayList<>();
    private long term;
    private String vote = "";
    private ReplicaSnapshot snapshot = ReplicaSnapshot.empty();

    private GroupFiles(Path folder, int group, RecordCodec codec, FileAccess files) {
        this.log = folder.resolve("group-" + group + ".log");
        this.snapshotFile = folder.resolve("group-" + group + ".snapshot");
        this.steps = LogSteps.create(codec);
        this.files = files;
    }

    /** Reads both files. Cuts a torn tail of the log; refuses damage anywhere else. */
    static Either<Failure, GroupFiles> open(Path folder, int group, RecordCodec codec, FileAccess files) {
        GroupFiles opened = new GroupFiles(folder, group, codec, files);
        try {
            Optional<Failure> failure = opened.readSnapshot();
            if (failure.isEmpty()) {
                failure = opened.readLog();
            }
            return failure.<Either<Failure, GroupFiles>>map(Either::left).orElseGet(() -> Either.right(opened));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.STORAGE_FAILED, e));
        }
    }

    RecoveredGroup content() {
        return new RecoveredGroup(term, vote, snapshot, entries);
    }

    /** Appends writes without forcing them. */
    void append(List<StorageEffect.WriteLog> writes) throws IOException {
        List<byte[]> payloads = new ArrayList<>();
        for (StorageEffect.WriteLog write : writes) {
            if (write.term() != term || !write.vote().equals(vote)) {
                payloads.add(steps.term(write.term(), write.vote()));
            }
            if (write.truncateFrom() > 0) {
                payloads.add(steps.truncate(write.truncateFrom()));
                entries.removeIf(entry -> entry.index() >= write.truncateFrom());
            }
            write.entries().forEach(entry -> payloads.add(steps.entry(entry)));
            term = write.term();
            vote = write.vote();
            entries.addAll(write.entries());
        }
        files.append(log, Records.encode(payloads));
    }

    void force() throws IOException {
        files.force(log);
    }

    /**
     * Replaces the snapshot, then the log. A crash between the two leaves the older log, which {@link #open} reads in
     * the light of the newer snapshot.
     */
    void writeSnapshot(StorageEffect.WriteSnapshot write) throws IOException {
        ReplicaSnapshot next =
                new ReplicaSnapshot(write.lastIndex(), write.lastTerm(), write.voters(), write.records());
        replace(snapshotFile, steps.snapshot(next));
        snapshot = next;
        boolean agrees = agreesWithSnapshot();
        entries.removeIf(entry -> !agrees || entry.index() < write.keepFrom());
        rewriteLog();
    }

    private void rewriteLog() throws IOException {
        List<byte[]> payloads = new ArrayList<>();
        payloads.add(steps.term(term, vote));
        entries.forEach(entry -> payloads.add(steps.entry(entry)));
        replace(log, payloads);
    }

    private void replace(Path file, List<byte[]> payloads) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        files.writeWhole(beside, Records.encode(payloads));
        files.rename(beside, file);
    }

    /** Says whether the log holds the snapshot's last entry, so that what follows it continues the snapshot. */
    private boolean agreesWithSnapshot() {
        return entries.stream()
                .anyMatch(entry -> entry.index() == snapshot.lastIndex() && entry.term() == snapshot.lastTerm());
    }

    private Optional<Failure> readSnapshot() throws IOException {
        byte[] bytes = files.read(snapshotFile);
        if (bytes.length == 0) {
            return Optional.empty();
        }
        Records.Content content = Records.decode(bytes);
        if (content.corruptAt() >= 0 || content.goodLength() < bytes.length) {
            return Optional.of(corrupt(snapshotFile, content.goodLength()));
        }
        Either<Failure, ReplicaSnapshot> read = steps.readSnapshot(content.payloads());
        if (read.isLeft()) {
            return Optional.of(corrupt(snapshotFile, 0));
        }
        snapshot = read.get();
        return Optional.empty();
    }

    private Optional<Failure> readLog() throws IOException {
        byte[] bytes = files.read(log);
        Records.Content content = Records.decode(bytes);
        if (content.corruptAt() >= 0) {
            return Optional.of(corrupt(log, content.corruptAt()));
        }
        for (byte[] payload : content.payloads()) {
            Either<Failure, LogSteps.Step> step = steps.read(payload);
            if (step.isLeft() || !take(step.get())) {
                return Optional.of(corrupt(log, content.goodLength()));
            }
        }
        if (content.goodLength() < bytes.length) {
            files.truncate(log, content.goodLength());
        }
        return alignWithSnapshot();
    }

    private Optional<Failure> alignWithSnapshot() throws IOException {
        if (entries.isEmpty() || entries.getFirst().index() == snapshot.lastIndex() + 1) {
            return Optional.empty();
        }
        if (entries.getFirst().index() > snapshot.lastIndex()) {
            return Optional.of(corrupt(log, 0));
        }
        if (!agreesWithSnapshot()) {
            entries.clear();
            rewriteLog();
        }
        return Optional.empty();
    }

    private boolean take(LogSteps.Step step) {
        return switch (step) {
            case LogSteps.Step.Term next -> {
                term = next.term();
                vote = next.vote();
                yield true;
            }
            case LogSteps.Step.Truncate truncate -> {
                entries.removeIf(entry -> entry.index() >= truncate.index());
                yield true;
            }
            case LogSteps.Step.Entry next -> {
                boolean follows = entries.isEmpty()
                        || next.entry().index() == entries.getLast().index() + 1;
                entries.add(next.entry());
                yield follows;
            }
        };
    }

    private static Failure corrupt(Path file, long offset) {
        return Failure.of(ErrorKind.LOG_CORRUPT, file.getFileName(), offset);
    }
}
