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

/** The storage writer on a real file system. */
class StorageWriterTest {
    private static final VoterId VOTER = VoterId.of(HostId.of("host-0"), 7);

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final FaultyFiles files = new FaultyFiles();

    @TempDir
    @SuppressWarnings("NullAway.Init")
    Path folder;

    private StorageWriter open() {
        return tryOpen().get();
    }

    private Either<Failure, StorageWriter> tryOpen() {
        return StorageWriter.open(
                folder,
                new NumberCodec(),
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

    private Event next() throws InterruptedException {
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

    private void perform(StorageEffect... effects) throws InterruptedException {
        StorageWriter writer = open();
        for (StorageEffect effect : effects) {
            writer.execute(effect);
            next();
        }
        writer.close();
    }

    private RecoveredGroup reopened() throws InterruptedException {
        StorageWriter writer = open();
        RecoveredGroup content = writer.recover(0);
        writer.close();
        return content;
    }

    private List<Long> indexes() throws InterruptedException {
        return reopened().entries().stream().map(ReplicaEntry::index).toList();
    }

    @Nested
    class AfterRestart {
        @Test
        void termVoteAndEntriesAreNotForgotten() throws InterruptedException {
            perform(write(1, 3, 0, 1, 4));
            RecoveredGroup content = reopened();
            assertEquals(3, content.term());
            assertEquals(VOTER, VoterId.parse(content.vote()));
            assertEquals(List.of(entry(1, 3), entry(2, 3), entry(3, 3), entry(4, 3)), content.entries());
        }

        @Test
        void replacedEntriesDoNotComeBack() throws InterruptedException {
            perform(write(1, 1, 0, 1, 5), write(2, 2, 3, 3, 3));
            assertEquals(
                    List.of(entry(1, 1), entry(2, 1), entry(3, 2)), reopened().entries());
        }

        @Test
        void theSnapshotKeepsATailAndTheTerm() throws InterruptedException {
            perform(write(1, 1, 0, 1, 9), snapshot(6, 1, 5));
            assertEquals(List.of(5L, 6L, 7L, 8L, 9L), indexes());
            assertEquals(6, reopened().snapshot().lastIndex());
            assertEquals(List.of(VOTER), reopened().snapshot().voters());
            assertEquals(1, reopened().term());
        }

        @Test
        void anInstalledSnapshotDropsALogThatContradictsIt() throws InterruptedException {
            perform(write(1, 1, 0, 1, 9), snapshot(6, 2, 7));
            assertEquals(List.of(), indexes());
        }

        @Test
        void aCrashBetweenSnapshotAndLogIsRepaired() throws InterruptedException {
            StorageWriter writer = open();
            writer.execute(write(1, 1, 0, 1, 9));
            next();
            files.fail("after rename of group-0.snapshot");
            writer.execute(snapshot(6, 2, 7));
            assertInstanceOf(StorageEvent.WriteFailed.class, next());
            writer.close();
            files.fail("");
            assertEquals(List.of(), indexes());
            perform(write(2, 2, 0, 7, 8));
            assertEquals(List.of(7L, 8L), indexes());
        }

        @Test
        void theDiskKeepsItsIdentityAndAnEmptyOneGetsAnother() throws InterruptedException, IOException {
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
    class Damage {
        private Path log() {
            return folder.resolve("group-0.log");
        }

        @Test
        void everyTornTailIsCutToWholeRecords() throws InterruptedException, IOException {
            perform(write(1, 1, 0, 1, 3));
            byte[] whole = Files.readAllBytes(log());
            for (int length = whole.length - 1; length > whole.length - 37; length--) {
                Files.write(log(), Arrays.copyOf(whole, length));
                assertEquals(List.of(1L, 2L), indexes(), "length " + length);
            }
            perform(write(2, 1, 0, 3, 3));
            assertEquals(List.of(1L, 2L, 3L), indexes());
        }

        @Test
        void zerosAfterTheLastRecordAreCut() throws InterruptedException, IOException {
            perform(write(1, 1, 0, 1, 3));
            Files.write(log(), new byte[100], StandardOpenOption.APPEND);
            assertEquals(List.of(1L, 2L, 3L), indexes());
        }

        @Test
        void anyChangedBitInsideIsRefusedAndNotTakenForATornTail() throws InterruptedException, IOException {
            perform(write(1, 1, 0, 1, 3));
            byte[] whole = Files.readAllBytes(log());
            for (int position = 0; position < whole.length; position++) {
                byte[] damaged = whole.clone();
                damaged[position] ^= 0x10;
                Files.write(log(), damaged);
                assertEquals(ErrorKind.LOG_CORRUPT, tryOpen().getLeft().kind(), "position " + position);
            }
        }

        @Test
        void aCutSnapshotIsRefused() throws InterruptedException, IOException {
            perform(write(1, 1, 0, 1, 3), snapshot(2, 1, 2));
            Path file = folder.resolve("group-0.snapshot");
            byte[] whole = Files.readAllBytes(file);
            Files.write(file, Arrays.copyOf(whole, whole.length - 1));
            assertEquals(ErrorKind.LOG_CORRUPT, tryOpen().getLeft().kind());
        }

        @Test
        void logsWithoutIdentityAreRefused() throws InterruptedException, IOException {
            perform(write(1, 1, 0, 1, 3));
            Files.delete(folder.resolve("identity"));
            assertEquals(ErrorKind.LOG_CORRUPT, tryOpen().getLeft().kind());
        }
    }

    @Nested
    class Faults {
        @Test
        void aFailedSyncIsReportedForThisAndEveryLaterWrite() throws InterruptedException {
            StorageWriter writer = open();
            files.fail("force");
            writer.execute(write(1, 1, 0, 1, 1));
            assertInstanceOf(StorageEvent.WriteFailed.class, next());
            files.fail("");
            writer.execute(write(2, 1, 0, 2, 2));
            assertInstanceOf(StorageEvent.WriteFailed.class, next());
            writer.close();
        }

        @Test
        void aFullDiskIsReported() throws InterruptedException {
            for (String operation : List.of("append", "writeWhole", "rename")) {
                StorageWriter writer = open();
                files.fail(operation);
                writer.execute(operation.equals("append") ? write(1, 1, 0, 1, 1) : snapshot(1, 1, 1));
                assertInstanceOf(StorageEvent.WriteFailed.class, next(), operation);
                files.fail("");
                writer.close();
            }
        }
    }

    @Nested
    class GroupCommit {
        @Test
        void waitingWritesShareASyncAndNoneIsLost() throws InterruptedException {
            StorageWriter writer = open();
            for (long number = 1; number <= 500; number++) {
                writer.execute(write(number, 1, 0, number, number));
            }
            writer.close();
            assertTrue(files.forces() < 500, "syncs " + files.forces());
            assertEquals(500, indexes().size());
        }
    }
}
