package org.plantainwharf.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.message.ReplicaEntry;

/**
 * Log and snapshot file of one group. The entries of the log are also kept in memory for the next rewrite. The log is a
 * sequence of records that yield term, vote and entries when applied in order. It is rewritten after each new snapshot,
 * and when most of the file is records that no longer count. Files are read and written one record at a time, so the
 * memory needed beyond the entries is that of the largest record. Confined to the storage writer's thread once opened.
 */
final class GroupFiles {
    /**
     * Largest number of bytes in one unsynced append, unless a single record is larger. After a loss of power each write
     * since the last sync may be missing by itself, so an append that takes several writes is synced between them.
     */
    private static final int APPEND_BYTES = 1 << 20;

    /** Bytes of obsolete records, beyond the size of the valid ones, that cause a rewrite of the log. */
    private static final long OBSOLETE_BYTES = 8L << 20;

    private final Path logFile;
    private final Path snapshotFile;
    private final PayloadCodec payloadCodec;
    private final FileAccess files;
    private final Deque<StoredEntry> entries = new ArrayDeque<>();
    private long entryBytes;
    private long logBytes;
    private long term;
    private String vote = "";
    private ReplicaSnapshot snapshot = ReplicaSnapshot.empty();

    /** An entry of the log and the length of its record, in bytes. Immutable. */
    private record StoredEntry(ReplicaEntry entry, int bytes) {
        long index() {
            return entry.index();
        }
    }

    private GroupFiles(Path folder, int group, RecordCodec codec, FileAccess files) {
        this.logFile = folder.resolve("group-" + group + ".log");
        this.snapshotFile = folder.resolve("group-" + group + ".snapshot");
        this.payloadCodec = PayloadCodec.create(codec);
        this.files = files;
    }

    /**
     * Reads both files, truncates a torn tail of the log and deletes what an interrupted rewrite left.
     *
     * @return the files, {@link ErrorKind#LOG_CORRUPT} for damage other than a torn tail, or
     *     {@link ErrorKind#STORAGE_FAILED} if a file cannot be accessed
     */
    static Either<Failure, GroupFiles> open(Path folder, int group, RecordCodec codec, FileAccess files) {
        GroupFiles opened = new GroupFiles(folder, group, codec, files);
        try {
            files.delete(temporary(opened.snapshotFile));
            files.delete(temporary(opened.logFile));
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
        return new RecoveredGroup(
                term, vote, snapshot, entries.stream().map(StoredEntry::entry).toList());
    }

    /** Appends writes to the log. The last of them may not be forced to disk yet. */
    void append(List<StorageEffect.WriteLog> writes) throws IOException {
        AppendBuffer buffer = new AppendBuffer();
        for (StorageEffect.WriteLog write : writes) {
            if (write.term() != term || !write.vote().equals(vote)) {
                buffer.add(payloadCodec.encodeTerm(write.term(), write.vote()));
            }
            if (write.truncateFrom() > 0) {
                buffer.add(payloadCodec.encodeTruncate(write.truncateFrom()));
                truncateEntries(write.truncateFrom());
            }
            term = write.term();
            vote = write.vote();
            for (ReplicaEntry entry : write.entries()) {
                addEntry(entry, buffer.add(payloadCodec.encodeEntry(entry)));
            }
        }
        buffer.flush();
        if (logBytes > 2 * entryBytes + OBSOLETE_BYTES) {
            rewriteLog();
        }
    }

    /** Collects records and appends them to the log. Syncs whenever a further write follows. Not thread-safe. */
    private final class AppendBuffer {
        private final Deque<ByteBuffer> parts = new ArrayDeque<>();
        private int bytes;
        private boolean unsynced;

        /** Adds a record and returns its length in bytes. */
        int add(byte[] payload) throws IOException {
            ByteBuffer part = RecordFraming.encode(payload);
            int length = part.remaining();
            if (!parts.isEmpty() && bytes + length > APPEND_BYTES) {
                flush();
            }
            parts.add(part);
            bytes += length;
            return length;
        }

        void flush() throws IOException {
            if (parts.isEmpty()) {
                return;
            }
            if (unsynced) {
                files.force(logFile);
            }
            ByteBuffer whole = parts.size() == 1 ? parts.getFirst() : ByteBuffer.allocate(bytes);
            if (parts.size() > 1) {
                parts.forEach(whole::put);
                whole.flip();
            }
            files.append(logFile, whole);
            logBytes += bytes;
            unsynced = true;
            parts.clear();
            bytes = 0;
        }
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
        replace(snapshotFile, payloadCodec.encodeSnapshot(next).map(RecordFraming::encode));
        snapshot = next;
        if (!containsLastSnapshotEntry()) {
            removeEntries();
        }
        while (!entries.isEmpty() && entries.getFirst().index() < write.firstRetainedIndex()) {
            entryBytes -= entries.removeFirst().bytes();
        }
        rewriteLog();
    }

    private void rewriteLog() throws IOException {
        ByteBuffer head = RecordFraming.encode(payloadCodec.encodeTerm(term, vote));
        long headBytes = head.remaining();
        replace(
                logFile,
                Stream.concat(
                        Stream.of(head),
                        entries.stream()
                                .map(stored -> RecordFraming.encode(payloadCodec.encodeEntry(stored.entry())))));
        logBytes = headBytes + entryBytes;
    }

    private void replace(Path file, Stream<ByteBuffer> parts) throws IOException {
        Path temporaryFile = temporary(file);
        Iterator<ByteBuffer> iterator = parts.iterator();
        files.replaceContent(temporaryFile, iterator);
        files.rename(temporaryFile, file);
    }

    private static Path temporary(Path file) {
        return file.resolveSibling(file.getFileName() + ".new");
    }

    /** Returns whether the log holds the snapshot's last entry, so that the entries after it continue the snapshot. */
    private boolean containsLastSnapshotEntry() {
        return entries.stream()
                .map(StoredEntry::entry)
                .anyMatch(entry -> entry.index() == snapshot.lastIndex() && entry.term() == snapshot.lastTerm());
    }

    private void addEntry(ReplicaEntry entry, int bytes) {
        entries.add(new StoredEntry(entry, bytes));
        entryBytes += bytes;
    }

    private void truncateEntries(long from) {
        while (!entries.isEmpty() && entries.getLast().index() >= from) {
            entryBytes -= entries.removeLast().bytes();
        }
    }

    private void removeEntries() {
        entries.clear();
        entryBytes = 0;
    }

    private Optional<Failure> readSnapshot() throws IOException {
        try (RecordReader records = files.read(snapshotFile)) {
            Optional<byte[]> header = records.next();
            if (header.isEmpty()) {
                return records.hasTail() ? Optional.of(corrupt(snapshotFile, 0)) : Optional.empty();
            }
            Either<Failure, ReplicaSnapshot> read = payloadCodec.decodeSnapshot(header.get(), records);
            if (read.isLeft() || records.next().isPresent() || records.hasTail()) {
                return Optional.of(corrupt(snapshotFile, records.validBytes()));
            }
            snapshot = read.get();
            return Optional.empty();
        }
    }

    private Optional<Failure> readLog() throws IOException {
        boolean torn;
        try (RecordReader records = files.read(logFile)) {
            for (Optional<byte[]> payload = records.next(); payload.isPresent(); payload = records.next()) {
                Either<Failure, PayloadCodec.LogRecord> read = payloadCodec.decodeLogRecord(payload.get());
                if (read.isLeft() || !apply(read.get(), RecordFraming.HEADER_BYTES + payload.get().length)) {
                    return Optional.of(corrupt(logFile, records.validBytes()));
                }
            }
            if (records.corrupt()) {
                return Optional.of(corrupt(logFile, records.validBytes()));
            }
            torn = records.hasTail();
            logBytes = records.validBytes();
        }
        if (torn) {
            files.truncate(logFile, logBytes);
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
            removeEntries();
            rewriteLog();
        }
        return Optional.empty();
    }

    private boolean apply(PayloadCodec.LogRecord record, int recordBytes) {
        return switch (record) {
            case PayloadCodec.LogRecord.Term next -> {
                term = next.term();
                vote = next.vote();
                yield true;
            }
            case PayloadCodec.LogRecord.Truncate truncate -> {
                truncateEntries(truncate.index());
                yield true;
            }
            case PayloadCodec.LogRecord.Entry next -> {
                boolean follows = entries.isEmpty()
                        || next.entry().index() == entries.getLast().index() + 1;
                addEntry(next.entry(), recordBytes);
                yield follows;
            }
        };
    }

    private static Failure corrupt(Path file, long offset) {
        return Failure.of(ErrorKind.LOG_CORRUPT, file.getFileName(), offset);
    }
}
