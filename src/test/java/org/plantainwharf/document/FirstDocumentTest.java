package org.plantainwharf.document;

import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.identity.HostId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against daemons that begin to serve by a document that was superseded before, and against those that do not begin.
 */
class FirstDocumentTest {
    /** A configuration is in force on every reachable host within 5 s. */
    private static final long CONFIGURATION_DEADLINE_MILLIS = 5_000;

    /** Time within which a document must be in force on a host that reaches a majority. */
    private static final long DOCUMENT_DEADLINE_MILLIS = 2_000;

    private final HostId entry = HostId.of("edge-1");

    private static DocumentFleet fleet(long seed, int documentBytes) {
        DocumentFleet fleet = new DocumentFleet(seed);
        fleet.advance(4_000);
        fleet.submit(3, documentBytes);
        fleet.advance(1_000);
        return fleet;
    }

    private long millisToFirstDocument(DocumentFleet fleet, long limitMillis) {
        long millis = 0;
        while (!fleet.hasDocument(entry)) {
            assertTrue(millis < limitMillis, "no document after " + millis + " ms");
            fleet.advance(10);
            millis += 10;
        }
        return millis;
    }

    @Nested
    class StartsWithALeader {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void endWithTheNewestDocument(long seed) {
            DocumentFleet fleet = fleet(seed, 0);
            fleet.startEntry(entry.value());
            long millis = millisToFirstDocument(fleet, 1_000);
            assertEquals(3, fleet.versionInForce(entry));
            assertEquals(Optional.of(ErrorKind.UNKNOWN_ROUTE), fleet.refusal(entry, 99, 1), "after " + millis + " ms");
        }

        /** A confirmation after the start must not delay service for longer than a document may take to be in force. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void endSoonAfterTheFirstLinkIsOpen(long seed) {
            DocumentFleet fleet = fleet(seed, 0);
            fleet.cutFromControl(entry, true);
            fleet.startEntry(entry.value());
            fleet.advance(10_000);
            assertFalse(fleet.hasDocument(entry));
            fleet.cutFromControl(entry, false);
            millisToFirstDocument(fleet, DOCUMENT_DEADLINE_MILLIS);
            assertEquals(3, fleet.versionInForce(entry));
        }

        /** While a large document was on its way, a newer one was committed. The old one was in force until it came. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void putNoDocumentInForceThatWasSupersededOnItsWay(long seed) {
            DocumentFleet fleet = fleet(seed, 400_000);
            // 4 s for each copy.
            fleet.limitEntryLinks(100_000);
            fleet.startEntry(entry.value());
            fleet.advance(2_500);
            fleet.submit(4, 0);
            millisToFirstDocument(fleet, 10_000);
            assertEquals(4, fleet.versionInForce(entry));
        }

        /** A series of large documents, each of which takes longer than the time to the next, must not prevent service. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void endWhileLargeDocumentsFollowEachOther(long seed) {
            DocumentFleet fleet = fleet(seed, 400_000);
            // 4 s for each copy.
            fleet.limitEntryLinks(100_000);
            fleet.startEntry(entry.value());
            for (int version = 4; version < 20 && !fleet.hasDocument(entry); version++) {
                fleet.submit(version, 400_000);
                fleet.advance(1_000);
            }
            assertTrue(fleet.hasDocument(entry));
        }
    }

    @Nested
    class StartsWithoutALeader {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void waitForOne(long seed) {
            DocumentFleet fleet = fleet(seed, 0);
            HostId follower = fleet.follower();
            DocumentFleet.CONTROL.stream()
                    .filter(host -> !host.equals(follower))
                    .forEach(fleet::pause);
            fleet.advance(2_000);
            fleet.startEntry(entry.value());
            fleet.advance(20_000);
            assertFalse(fleet.hasDocument(entry));
            assertEquals(Optional.of(ErrorKind.CONFIGURATION_MISSING), fleet.refusal(entry, 3, 3));
            DocumentFleet.CONTROL.forEach(fleet::resume);
            millisToFirstDocument(fleet, 5_000);
            assertEquals(3, fleet.versionInForce(entry));
        }
    }

    @Nested
    class PausesAfterTheStart {
        /** The first messages of the source waited in the queue of the daemon, which took them for new ones. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void putNoDocumentInForceThatWasSupersededMeanwhile(long seed) {
            DocumentFleet fleet = fleet(seed, 0);
            fleet.startEntry(entry.value());
            // The answer with the present document arrives in the pause.
            while (!fleet.hasRequestedEntries(entry)) {
                fleet.advance(10);
            }
            fleet.pause(entry);
            fleet.advance(4_000);
            fleet.submit(4, 0);
            fleet.advance(1_000);
            fleet.resume(entry);
            while (!fleet.hasDocument(entry)) {
                fleet.advance(10);
            }
            assertEquals(4, fleet.versionInForce(entry));
        }
    }

    @Nested
    class CutsAfterTheStart {
        /** A daemon that cannot find out whether its document is the newest serves, and calls nothing unknown wrong. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void doNotPreventService(long seed) {
            DocumentFleet fleet = fleet(seed, 400_000);
            // 4 s for each copy.
            fleet.limitEntryLinks(100_000);
            fleet.startEntry(entry.value());
            while (!fleet.hasApplied(entry, 3)) {
                fleet.advance(10);
            }
            fleet.cutFromControl(entry, true);
            fleet.advance(100);
            fleet.submit(4, 0);
            millisToFirstDocument(fleet, CONFIGURATION_DEADLINE_MILLIS + 100);
            assertEquals(Optional.empty(), fleet.refusal(entry, 3, 3));
            assertEquals(Optional.of(ErrorKind.CONFIGURATION_OUTDATED), fleet.refusal(entry, 4, 4));
        }
    }
}
