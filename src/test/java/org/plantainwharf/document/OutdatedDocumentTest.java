package org.plantainwharf.document;

import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.identity.HostId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against proper requests that are refused as wrong because the daemon's document is old: callers do not repeat them.
 */
class OutdatedDocumentTest {
    /** Time within which a document must be in force on a host that reaches a majority. */
    private static final long DOCUMENT_DEADLINE_MILLIS = 2_000;

    private static final Optional<ErrorKind> ALLOWED = Optional.empty();
    private static final Optional<ErrorKind> OUTDATED = Optional.of(ErrorKind.CONFIGURATION_OUTDATED);
    private static final Optional<ErrorKind> NO_ROUTE = Optional.of(ErrorKind.UNKNOWN_ROUTE);
    private static final Optional<ErrorKind> NO_KEY = Optional.of(ErrorKind.UNAUTHENTICATED);

    private static final int UNKNOWN = 99;

    /** Returns a group in which version 3 is in force everywhere, with one entry daemon. */
    private static DocumentFleet fleet(long seed, HostId entry) {
        DocumentFleet fleet = new DocumentFleet(seed);
        fleet.startEntry(entry.value());
        fleet.advance(4_000);
        fleet.submit(3, 0);
        fleet.advance(2_000);
        return fleet;
    }

    private static void assertUnknownIsRefusedAtOnce(DocumentFleet fleet, HostId entry, String when) {
        assertEquals(NO_ROUTE, fleet.refusal(entry, UNKNOWN, 1), when);
        assertEquals(NO_KEY, fleet.refusal(entry, 1, UNKNOWN), when);
    }

    private static void assertAddedIsNotRefusedAsWrong(DocumentFleet fleet, HostId entry) {
        assertEquals(OUTDATED, fleet.refusal(entry, 4, 1));
        assertEquals(OUTDATED, fleet.refusal(entry, 1, 4));
        assertEquals(ALLOWED, fleet.refusal(entry, 3, 3));
    }

    @Nested
    class DaemonsInContact {
        private final HostId entry = HostId.of("edge-1");

        /** Requests that are wrong must not be told to come again. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void refuseWhatTheDocumentLacksAtOnce(long seed) {
            DocumentFleet fleet = fleet(seed, entry);
            for (int millis = 0; millis < 20_000; millis += 10) {
                fleet.advance(10);
                assertUnknownIsRefusedAtOnce(fleet, entry, "after " + millis + " ms");
            }
        }

        @Test
        void refuseWhileSmallDocumentsFollowEachOther() {
            DocumentFleet fleet = fleet(1, entry);
            for (int version = 4; version < 30; version++) {
                fleet.submit(version, 0);
                fleet.advance(200);
                assertUnknownIsRefusedAtOnce(fleet, entry, "version " + version);
                assertEquals(ALLOWED, fleet.refusal(entry, version, version));
            }
        }
    }

    @Nested
    class DaemonsThatAreCutOff {
        private final HostId entry = HostId.of("edge-1");

        /** A daemon that no control daemon reaches refused keys and routes that were added meanwhile as unknown. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void doNotRefuseWhatWasAddedMeanwhile(long seed) {
            DocumentFleet fleet = fleet(seed, entry);
            fleet.cutFromControl(entry, true);
            fleet.advance(100);
            fleet.submit(4, 0);
            fleet.advance(DOCUMENT_DEADLINE_MILLIS);
            assertAddedIsNotRefusedAsWrong(fleet, entry);
            fleet.advance(20_000);
            assertAddedIsNotRefusedAsWrong(fleet, entry);
            fleet.cutFromControl(entry, false);
            fleet.advance(2_000);
            assertEquals(ALLOWED, fleet.refusal(entry, 4, 4));
            assertUnknownIsRefusedAtOnce(fleet, entry, "after the cut");
        }
    }

    @Nested
    class DaemonsThatWerePaused {
        private final HostId entry = HostId.of("edge-1");

        /** Messages that waited while the process was paused looked new, so that the document seemed to be the newest one. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void doNotRefuseWhatWasAddedMeanwhile(long seed) {
            DocumentFleet fleet = fleet(seed, entry);
            fleet.pause(entry);
            fleet.advance(500);
            // Refused, but an entry of the log that waits for the paused daemon.
            fleet.submit(2, 0);
            fleet.advance(2_500);
            fleet.submit(4, 0);
            fleet.advance(1_000);
            assertTrue(fleet.hasArrivedInPause(entry));
            while (fleet.hasArrivedInPause(entry)) {
                fleet.handleOneFromPause(entry);
                assertAddedIsNotRefusedAsWrong(fleet, entry);
            }
            fleet.resume(entry);
            fleet.advance(DOCUMENT_DEADLINE_MILLIS);
            assertEquals(ALLOWED, fleet.refusal(entry, 4, 4));
            assertUnknownIsRefusedAtOnce(fleet, entry, "after the pause");
        }
    }

    @Nested
    class DaemonsBehindSlowLinks {
        private final HostId entry = HostId.of("edge-1");

        /** A large document takes seconds to arrive, while heartbeats and other messages pass it. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void doNotRefuseWhatADocumentOnItsWayAdds(long seed) {
            DocumentFleet fleet = fleet(seed, entry);
            // 8 s for each copy.
            fleet.limitEntryLinks(50_000);
            fleet.submit(4, 400_000);
            fleet.advance(DOCUMENT_DEADLINE_MILLIS);
            for (int millis = 0; millis < 5_000; millis += 10) {
                assertAddedIsNotRefusedAsWrong(fleet, entry);
                fleet.advance(10);
            }
            fleet.advance(5_000);
            assertEquals(ALLOWED, fleet.refusal(entry, 4, 4));
            assertUnknownIsRefusedAtOnce(fleet, entry, "after the transfer");
        }

        /** The message that brings a large document says nothing about what was committed while it was on its way. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void doNotTakeALargeDocumentForTheNewest(long seed) {
            DocumentFleet fleet = fleet(seed, entry);
            // 4 s for each copy.
            fleet.limitEntryLinks(100_000);
            fleet.submit(4, 400_000);
            fleet.advance(1_500);
            fleet.submit(5, 400_000);
            fleet.advance(DOCUMENT_DEADLINE_MILLIS);
            while (!fleet.refusal(entry, 5, 5).equals(ALLOWED)) {
                assertEquals(OUTDATED, fleet.refusal(entry, 5, 1));
                fleet.advance(10);
            }
            fleet.advance(1_000);
            assertUnknownIsRefusedAtOnce(fleet, entry, "after both");
        }
    }

    @Nested
    class DaemonsWithASourceThatIsCutOff {
        private final HostId entry = HostId.of("edge-1");

        /** A configuration is in force on every reachable host within 5 s. */
        private static final long CONFIGURATION_DEADLINE_MILLIS = 5_000;

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void doNotRefuseWhatWasAddedMeanwhile(long seed) {
            DocumentFleet fleet = fleet(seed, entry);
            HostId source = fleet.follower();
            DocumentFleet.CONTROL.stream().filter(host -> !host.equals(source)).forEach(host -> {
                fleet.cut(source, host, true);
                fleet.cut(entry, host, true);
            });
            fleet.submit(4, 0);
            fleet.advance(CONFIGURATION_DEADLINE_MILLIS);
            for (int millis = 0; millis < 10_000; millis += 10) {
                assertAddedIsNotRefusedAsWrong(fleet, entry);
                fleet.advance(10);
            }
        }
    }

    /** A source that was paused handles what waited for it one message after the other and answers by an old log meanwhile. */
    @Nested
    class DaemonsWithASourceThatWasPaused {
        private final HostId entry = HostId.of("edge-1");

        private void assertNotWrong(DocumentFleet fleet) {
            Optional<ErrorKind> refusal = fleet.refusal(entry, 4, 4);
            assertTrue(refusal.equals(ALLOWED) || refusal.equals(OUTDATED), refusal.toString());
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void doNotRefuseWhatWasAddedMeanwhile(long seed) {
            DocumentFleet fleet = fleet(seed, entry);
            HostId source = fleet.follower();
            DocumentFleet.CONTROL.stream()
                    .filter(host -> !host.equals(source))
                    .forEach(host -> fleet.cut(entry, host, true));
            fleet.advance(5_000);
            fleet.pause(source);
            fleet.advance(300);
            fleet.submit(4, 0);
            fleet.advance(5_000);
            assertTrue(fleet.hasArrivedInPause(source));
            while (fleet.hasArrivedInPause(source)) {
                fleet.handleOneFromPause(source);
                fleet.advance(1);
                assertNotWrong(fleet);
            }
            fleet.resume(source);
            for (int millis = 0; millis < 5_000; millis += 5) {
                fleet.advance(5);
                assertNotWrong(fleet);
            }
            assertEquals(ALLOWED, fleet.refusal(entry, 4, 4));
            assertUnknownIsRefusedAtOnce(fleet, entry, "after the pause");
        }
    }

    @Nested
    class ChangesOfTheLeader {
        private final HostId entry = HostId.of("edge-1");

        /** The loss of a leader is an ordinary event, in which wrong requests are still told at once that they are wrong. */
        @ParameterizedTest
        @ValueSource(
                longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26})
        void causeNoRefusalAsOutdated(long seed) {
            DocumentFleet fleet = fleet(seed, entry);
            fleet.pause(fleet.leader());
            for (int millis = 0; millis < 6_000; millis += 10) {
                fleet.advance(10);
                assertUnknownIsRefusedAtOnce(fleet, entry, millis + " ms after the loss");
            }
        }
    }
}
