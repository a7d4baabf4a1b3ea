package org.plantainwharf.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.plantainwharf.consensus.RecoveredGroup;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against log content that is lost, altered or brought back by a restart, a crash or a disk failure, and against
 * corruption that is taken for a torn tail. Runs on a real file system.
 */
class StorageWriterTest {
    private static final VoterId VOTER = VoterId.of(HostId.of("host-0"), 7);

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final FaultInjectingFileAccess files = new FaultInjectingFileAccess();

    @TempDir
    @SuppressWarnings("NullAway.Init")
    Path folder;

    private StorageWriter open() {
        return tryOpen().get();
    }

    private Either<Failure, StorageWriter> tryOpen() {
        return StorageWriter.open(
                folder,
                new StubRecordCodec(),
                new EventSink() {
                    @Override
                    public boolean offer(Event event) {
                        return events.offer(event);
                    }

                    @Override
                    public void post(Event event) {
                        events.add(event);
                    }
                },
                files);
    }

    private Event nextEvent() throws InterruptedException {
        Event event = events.poll(10, TimeUnit.SECONDS);
        return event == null ? new StorageEvent.WriteFailed(-1, "no event within 10 s") : event;
    }

    private static ReplicaEntry entry(long index, long term) {
        return ReplicaEntry.of(index, term, new Command.Expire(index * 10 + term));
    }

    private static StorageEffect.WriteLog write(long number, long term, long truncateFrom, long from, long to) {
        List<ReplicaEntry> entries = LongStream.rangeClosed(from, to)
                .mapToObj(index -> entry(index, term))
                .toList();
        return new StorageEffect.WriteLog(0, number, term, VOTER.text(), truncateFrom, entries);
    }

    private static StorageEffect.WriteSnapshot snapshot(long lastIndex, long lastTerm, long keepFrom) {
        List<StateRecord> records = List.of(new StateRecord.Fencing(lastIndex, HostId.of("any"), 0));
        return new StorageEffect.WriteSnapshot(0, lastIndex, lastTerm, List.of(VOTER), records, keepFrom);
    }

    private void execute(StorageEffect... effects) throws InterruptedException {
        StorageWriter writer = open();
        for (StorageEffect effect : effects) {
            writer.execute(effect);
            nextEvent();
        }
        writer.close();
    }

    private RecoveredGroup reopenAndRecover() throws InterruptedException {
        StorageWriter writer = open();
        RecoveredGroup content = writer.recover(0);
        writer.close();
        return content;
    }

    private List<Long> recoveredIndexes() throws InterruptedException {
        return reopenAndRecover().entries().stream().map(ReplicaEntry::index).toList();
    }

    @Nested
    class AfterRestart {
        @Test
        void termVoteAndEntriesAreRecovered() throws InterruptedException {
            execute(write(1, 3, 0, 1, 4));
            RecoveredGroup content = reopenAndRecover();
            assertEquals(3, content.term());
            assertEquals(VOTER, VoterId.parse(content.vote()));
            assertEquals(List.of(entry(1, 3), entry(2, 3), entry(3, 3), entry(4, 3)), content.entries());
        }

        @Test
        void truncatedEntriesAreNotRecovered() throws InterruptedException {
            execute(write(1, 1, 0, 1, 5), write(2, 2, 3, 3, 3));
            assertEquals(
                    List.of(entry(1, 1), entry(2, 1), entry(3, 2)),
                    reopenAndRecover().entries());
        }

        @Test
        void snapshotRetainsLogTailAndTerm() throws InterruptedException {
            execute(write(1, 1, 0, 1, 9), snapshot(6, 1, 5));
            assertEquals(List.of(5L, 6L, 7L, 8L, 9L), recoveredIndexes());
            assertEquals(6, reopenAndRecover().snapshot().lastIndex());
            assertEquals(List.of(VOTER), reopenAndRecover().snapshot().voters());
            assertEquals(1, reopenAndRecover().term());
        }

        @Test
        void installedSnapshotDropsConflictingLog() throws InterruptedException {
            execute(write(1, 1, 0, 1, 9), snapshot(6, 2, 7));
            assertEquals(List.of(), recoveredIndexes());
        }

        @Test
        void crashBetweenSnapshotAndLogRewriteIsRepaired() throws InterruptedException {
            StorageWriter writer = open();
            writer.execute(write(1, 1, 0, 1, 9));
            nextEvent();
            files.failOn("after rename of group-0.snapshot");
            writer.execute(snapshot(6, 2, 7));
            assertInstanceOf(StorageEvent.WriteFailed.class, nextEvent());
            writer.close();
            files.failOn("");
            assertEquals(List.of(), recoveredIndexes());
            execute(write(2, 2, 0, 7, 8));
            assertEquals(List.of(7L, 8L), recoveredIndexes());
        }

        @Test
        void diskKeepsIdentityAndEmptyDiskGetsNewOne() throws InterruptedException, IOException {
            StorageWriter writer = open();
            long first = writer.diskIncarnation();
            writer.close();
            StorageWriter again = open();
            assertEquals(first, again.diskIncarnation());
            again.close();
            Files.delete(folder.resolve("identity"));
            StorageWriter empty = open();
            assertNotEquals(first, empty.diskIncarnation());
            empty.close();
        }
    }

    @Nested
    class LargeLogs {
        private static final int ENTRIES = 30_000;

        /** After a loss of power each write since the last sync may be missing by itself. */
        @Test
        void areSyncedBetweenTheWritesOfOneAppend() throws InterruptedException {
            execute(write(1, 1, 0, 1, 4 * ENTRIES));
            assertEquals(5, files.forces());
            assertEquals(4 * ENTRIES, recoveredIndexes().size());
        }

        @Test
        void areRewrittenWhenMostOfThemIsObsolete() throws InterruptedException, IOException {
            StorageWriter writer = open();
            long largest = 0;
            for (long term = 1; term <= 30; term++) {
                writer.execute(write(term, term, 1, 1, ENTRIES));
                nextEvent();
                largest = Math.max(largest, Files.size(folder.resolve("group-0.log")));
            }
            writer.close();
            assertTrue(largest < 12 << 20, largest + " bytes");
            assertEquals(ENTRIES, recoveredIndexes().size());
        }

        @Test
        void leaveNothingOfAnInterruptedRewrite() throws InterruptedException, IOException {
            execute(write(1, 1, 0, 1, 3));
            Files.write(folder.resolve("group-0.log.new"), new byte[100]);
            Files.write(folder.resolve("group-0.snapshot.new"), new byte[100]);
            assertEquals(List.of(1L, 2L, 3L), recoveredIndexes());
            assertEquals(false, Files.exists(folder.resolve("group-0.log.new")));
            assertEquals(false, Files.exists(folder.resolve("group-0.snapshot.new")));
        }
    }

    @Nested
    class Corruption {
        private Path logFile() {
            return folder.resolve("group-0.log");
        }

        @Test
        void tornTailIsTruncatedToCompleteRecords() throws InterruptedException, IOException {
            execute(write(1, 1, 0, 1, 3));
            byte[] original = Files.readAllBytes(logFile());
            for (int length = original.length - 1; length > original.length - 37; length--) {
                Files.write(logFile(), Arrays.copyOf(original, length));
                assertEquals(List.of(1L, 2L), recoveredIndexes(), "length " + length);
            }
            execute(write(2, 1, 0, 3, 3));
            assertEquals(List.of(1L, 2L, 3L), recoveredIndexes());
        }

        @Test
        void trailingZerosAreTruncated() throws InterruptedException, IOException {
            execute(write(1, 1, 0, 1, 3));
            Files.write(logFile(), new byte[100], StandardOpenOption.APPEND);
            assertEquals(List.of(1L, 2L, 3L), recoveredIndexes());
        }

        @Test
        void flippedBitIsCorruptionAndNotTornTail() throws InterruptedException, IOException {
            execute(write(1, 1, 0, 1, 3));
            byte[] original = Files.readAllBytes(logFile());
            for (int position = 0; position < original.length; position++) {
                byte[] damaged = original.clone();
                damaged[position] ^= 0x10;
                Files.write(logFile(), damaged);
                assertEquals(ErrorKind.LOG_CORRUPT, tryOpen().getLeft().kind(), "position " + position);
            }
        }

        @Test
        void truncatedSnapshotIsRefused() throws InterruptedException, IOException {
            execute(write(1, 1, 0, 1, 3), snapshot(2, 1, 2));
            Path file = folder.resolve("group-0.snapshot");
            byte[] original = Files.readAllBytes(file);
            Files.write(file, Arrays.copyOf(original, original.length - 1));
            assertEquals(ErrorKind.LOG_CORRUPT, tryOpen().getLeft().kind());
        }

        @Test
        void logsWithoutIdentityAreRefused() throws InterruptedException, IOException {
            execute(write(1, 1, 0, 1, 3));
            Files.delete(folder.resolve("identity"));
            assertEquals(ErrorKind.LOG_CORRUPT, tryOpen().getLeft().kind());
        }
    }

    @Nested
    class WriteFailures {
        @Test
        void failedSyncFailsThisAndEveryLaterWrite() throws InterruptedException {
            StorageWriter writer = open();
            files.failOn("force");
            writer.execute(write(1, 1, 0, 1, 1));
            assertInstanceOf(StorageEvent.WriteFailed.class, nextEvent());
            files.failOn("");
            writer.execute(write(2, 1, 0, 2, 2));
            assertInstanceOf(StorageEvent.WriteFailed.class, nextEvent());
            writer.close();
        }

        @Test
        void failedFileOperationIsReported() throws InterruptedException {
            for (String operation : List.of("append", "replaceContent", "rename")) {
                StorageWriter writer = open();
                files.failOn(operation);
                writer.execute(operation.equals("append") ? write(1, 1, 0, 1, 1) : snapshot(1, 1, 1));
                assertInstanceOf(StorageEvent.WriteFailed.class, nextEvent(), operation);
                files.failOn("");
                writer.close();
            }
        }
    }

    @Nested
    class GroupCommit {
        @Test
        void queuedWritesShareOneSyncAndNoneIsLost() throws InterruptedException {
            StorageWriter writer = open();
            for (long number = 1; number <= 500; number++) {
                writer.execute(write(number, 1, 0, number, number));
            }
            writer.close();
            assertTrue(files.forces() < 500, "syncs " + files.forces());
            assertEquals(500, recoveredIndexes().size());
        }
    }
}
