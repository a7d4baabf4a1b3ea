package org.plantainwharf.consensus;

import java.io.IOException;
import java.nio.file.Path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.plantainwharf.testing.StoredControlGroup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a log of large documents that fills the disk or the heap of a control daemon, so that the newest
 * acknowledged document cannot be read back. A control daemon has a disk of 128 MB and a heap of 160 MB.
 */
@Timeout(120)
class LargeEntriesTest {
    private static final int DOCUMENT_BYTES = 1 << 20;
    private static final int LARGEST_DOCUMENT_BYTES = 4 << 20;
    private static final long DISK_BYTES = 64L << 20;

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    @Nested
    class Compaction {
        @Test
        void isDueByBytesLongBeforeItIsDueByEntries() throws InterruptedException, IOException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                for (int version = 1; version <= 150; version++) {
                    assertTrue(group.replaceDocument(version, DOCUMENT_BYTES), "version " + version);
                    assertTrue(group.bytesOnDisk() <= DISK_BYTES, group.bytesOnDisk() + " bytes on disk");
                }
            }
            try (StoredControlGroup restarted = StoredControlGroup.open(folder)) {
                assertEquals(150, restarted.documentVersion());
            }
        }

        @Test
        void boundsTheDiskForDocumentsOfTheLargestSize() throws InterruptedException, IOException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                for (int version = 1; version <= 40; version++) {
                    assertTrue(group.replaceDocument(version, LARGEST_DOCUMENT_BYTES), "version " + version);
                    assertTrue(group.bytesOnDisk() <= DISK_BYTES, group.bytesOnDisk() + " bytes on disk");
                }
            }
        }
    }

    @Nested
    class StalledDisk {
        /** Entries that wait for the disk are in memory only. */
        @Test
        void refusesProposalsBeyondABoundedNumberOfBytes() throws InterruptedException {
            try (StoredControlGroup group = StoredControlGroup.open(folder)) {
                group.stallDisk();
                for (int version = 1; version <= 30; version++) {
                    group.replaceDocument(version, LARGEST_DOCUMENT_BYTES);
                }
                assertTrue(group.refusals() >= 25, group.refusals() + " proposals refused");
            }
        }
    }
}
