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
 * Log and snapshot file of one group. Their content is also kept in memory for the next rewrite. The log is a sequence
 * of records that yield term, vote and entries when applied in order; each new snapshot causes it to be rewritten.
 * Confined to the storage writer's thread once opened.
 */
final class GroupFiles {
    private final Path logFile;
    private final Path snapshotFile;
    private final PayloadCodec payloadCodec;
    private final FileAccess files;
    private final List<ReplicaEntry> entries = new ArrayList<>();
    private long term;
    private String vote = "";
    private ReplicaSnapshot snapshot = ReplicaSnapshot.empty();

    private GroupFiles(Path folder, int group, RecordCodec codec, FileAccess files) {
        this.logFile = folder.resolve("group-" + group + ".log");
        this.snapshotFile = folder.resolve("group-" + group + ".snapshot");
        this.payloadCodec = PayloadCodec.create(codec);
        this.files = files;
    }

    /**
     * Reads both files and truncates a torn tail of the log.
     *
     * @return the files, {@link ErrorKind#LOG_CORRUPT} for damage other than a torn tail, or
     *     {@link ErrorKind#STORAGE_FAILED} if a file cannot be accessed
     */
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

    /** Appends writes to the log without forcing them to disk. */
    void append(List<StorageEffect.WriteLog> writes) throws IOException {
        List<byte[]> payloads = new ArrayList<>();
        for (StorageEffect.WriteLog write : writes) {
            if (write.term() != term || !write.vote().equals(vote)) {
                payloads.add(payloadCodec.encodeTerm(write.term(), write.vote()));
            }
            if (write.truncateFrom() > 0) {
                payloads.add(payloadCodec.encodeTruncate(write.truncateFrom()));
                entries.removeIf(entry -> entry.index() >= write.truncateFrom());
            }
            write.entries().forEach(entry -> payloads.add(payloadCodec.encodeEntry(entry)));
            term = write.term();
            vote = write.vote();
            entries.addAll(write.entries());
        }
        files.append(logFile, RecordFraming.encode(payloads));
    }

    void force() throws IOException {
        files.force(logFile);
    }

    /**
     * Replaces the snapshot, then the log. A crash between the two leaves the old log next to the new snapshot, which
     * {@link #open} reconciles.
     */
    void writeSnapshot(StorageEffect.WriteSnapshot write) throws IOException {
        ReplicaSnapshot next =
                new ReplicaSnapshot(write.lastIndex(), write.lastTerm(), write.voters(), write.records());
        replace(snapshotFile, payloadCodec.encodeSnapshot(next));
        snapshot = next;
        boolean agrees = containsLastSnapshotEntry();
        entries.removeIf(entry -> !agrees || entry.index() < write.firstRetainedIndex());
        rewriteLog();
    }

    private void rewriteLog() throws IOException {
        List<byte[]> payloads = new ArrayList<>();
        payloads.add(payloadCodec.encodeTerm(term, vote));
        entries.forEach(entry -> payloads.add(payloadCodec.encodeEntry(entry)));
        replace(logFile, payloads);
    }

    private void replace(Path file, List<byte[]> payloads) throws IOException {
        Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
        files.replaceContent(temporaryFile, RecordFraming.encode(payloads));
        files.rename(temporaryFile, file);
    }

    /** Returns whether the log holds the snapshot's last entry, so that the entries after it continue the snapshot. */
    private boolean containsLastSnapshotEntry() {
        return entries.stream()
                .anyMatch(entry -> entry.index() == snapshot.lastIndex() && entry.term() == snapshot.lastTerm());
    }

    private Optional<Failure> readSnapshot() throws IOException {
        byte[] bytes = files.read(snapshotFile);
        if (bytes.length == 0) {
            return Optional.empty();
        }
        RecordFraming.DecodedFile content = RecordFraming.decode(bytes);
        if (content.corruptOffset() >= 0 || content.validLength() < bytes.length) {
            return Optional.of(corrupt(snapshotFile, content.validLength()));
        }
        Either<Failure, ReplicaSnapshot> read = payloadCodec.decodeSnapshot(content.payloads());
        if (read.isLeft()) {
            return Optional.of(corrupt(snapshotFile, 0));
        }
        snapshot = read.get();
        return Optional.empty();
    }

    private Optional<Failure> readLog() throws IOException {
        byte[] bytes = files.read(logFile);
        RecordFraming.DecodedFile content = RecordFraming.decode(bytes);
        if (content.corruptOffset() >= 0) {
            return Optional.of(corrupt(logFile, content.corruptOffset()));
        }
        for (byte[] payload : content.payloads()) {
            Either<Failure, PayloadCodec.LogRecord> record = payloadCodec.decodeLogRecord(payload);
            if (record.isLeft() || !apply(record.get())) {
                return Optional.of(corrupt(logFile, content.validLength()));
            }
        }
        if (content.validLength() < bytes.length) {
            files.truncate(logFile, content.validLength());
        }
        return reconcileWithSnapshot();
    }

    private Optional<Failure> reconcileWithSnapshot() throws IOException {
        if (entries.isEmpty() || entries.getFirst().index() == snapshot.lastIndex() + 1) {
            return Optional.empty();
        }
        if (entries.getFirst().index() > snapshot.lastIndex()) {
            return Optional.of(corrupt(logFile, 0));
        }
        if (!containsLastSnapshotEntry()) {
            entries.clear();
            rewriteLog();
        }
        return Optional.empty();
    }

    private boolean apply(PayloadCodec.LogRecord record) {
        return switch (record) {
            case PayloadCodec.LogRecord.Term next -> {
                term = next.term();
                vote = next.vote();
                yield true;
            }
            case PayloadCodec.LogRecord.Truncate truncate -> {
                entries.removeIf(entry -> entry.index() >= truncate.index());
                yield true;
            }
            case PayloadCodec.LogRecord.Entry next -> {
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
