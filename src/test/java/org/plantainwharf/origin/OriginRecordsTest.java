package org.plantainwharf.origin;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.codec.PeerMessageCodec;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against records that take more memory or larger messages than a daemon may use. */
class OriginRecordsTest {
    private static final int MAXIMUM_FRAME_BYTES = 64 * 1024;
    private static final long MAXIMUM_HEAP_BYTES = 64L * 1024 * 1024;
    private static final StreamOrigin ORIGIN =
            new StreamOrigin(ServiceName.of("wharf-models"), ServerVersion.of("2026.11.4-rc1"));

    private final OriginRecords records = new OriginRecords();

    private static String attempt(int number) {
        return "0f8fad5b-d9cb-469f-a165-%012d".formatted(number);
    }

    @Nested
    class Bounds {
        @Test
        void dropTheOldestRecordFirst() {
            for (int number = 0; number < OriginRecords.MAXIMUM_RECORDS; number++) {
                assertEquals(false, records.keep(attempt(number), ORIGIN, number));
            }
            records.keep(attempt(0), ORIGIN, 1);
            assertEquals(true, records.keep("one-more", ORIGIN, 2));
            assertEquals(Optional.of(ORIGIN), records.find(attempt(0)));
            assertEquals(Optional.empty(), records.find(attempt(1)));
            assertEquals(OriginRecords.MAXIMUM_RECORDS, records.size());
        }

        @Test
        void dropARecordAfterTheRetention() {
            records.keep("first", ORIGIN, 0);
            records.keep("second", ORIGIN, 10);
            records.keep("first", ORIGIN, 20);
            records.removeExpired(110, 100);
            assertEquals(Optional.of(ORIGIN), records.find("first"));
            assertEquals(Optional.empty(), records.find("second"));
        }

        /** The planned memory of a daemon is 64 MB; half of it is for everything else. */
        @Test
        void keepTheHeapOfAllRecordsBelowThePlan() {
            long before = usedHeapBytes();
            for (int number = 0; number < OriginRecords.MAXIMUM_RECORDS; number++) {
                records.keep(
                        attempt(number),
                        new StreamOrigin(ServiceName.of("wharf-models"), ServerVersion.of("2026.11.4-rc1")),
                        TimeUnit.MILLISECONDS.toNanos(number));
            }
            long bytes = usedHeapBytes() - before;
            assertTrue(bytes < MAXIMUM_HEAP_BYTES / 2, bytes + " bytes for " + records.size());
        }

        private static long usedHeapBytes() {
            for (int collection = 0; collection < 3; collection++) {
                System.gc();
            }
            return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        }
    }

    @Nested
    class Withdrawals {
        /** The first message on an origin may overtake, or be repeated after, the one that withdraws it. */
        @Test
        void stayInForceWhateverArrivesLate() {
            records.keep("first", ORIGIN.asDoubtful(), 0);
            records.keep("first", ORIGIN, 1);
            assertEquals(Optional.of(ORIGIN.asDoubtful()), records.find("first"));
        }

        @Test
        void surviveTheWire() {
            PeerMessage message = new PeerMessage.StreamOrigins(Map.of("first", ORIGIN.asDoubtful()));
            PeerMessageCodec codec = PeerMessageCodec.create();
            assertEquals(message, codec.decode(codec.encode(message)).get());
        }
    }

    @Nested
    class Keys {
        @Test
        void ofLongIdsAreDigests() {
            String longId = "x".repeat(100_000);
            assertEquals(OriginKey.MAXIMUM_CHARACTERS, OriginKey.of(longId).length());
            assertTrue(!OriginKey.of(longId).equals(OriginKey.of(longId + "y")));
            assertEquals("y".repeat(64), OriginKey.of("y".repeat(64)));
        }

        @Test
        void ofNoAttemptAreNeverKept() {
            assertEquals(false, OriginKey.isValid(OriginKey.ofNoAttempt(0)));
            assertEquals(false, OriginKey.isValid(""));
        }
    }

    @Nested
    class Messages {
        /** A frame holds 64 KiB at most. */
        @Test
        void withTheLongestRecordsFitInAFrame() {
            Map<String, StreamOrigin> origins = new HashMap<>();
            for (int number = 0; number < OriginRecordController.MAXIMUM_RECORDS_PER_MESSAGE; number++) {
                origins.put(
                        "\u20ac".repeat(60) + number,
                        new StreamOrigin(
                                ServiceName.of("s".repeat(64)),
                                ServerVersion.of("\u20ac".repeat(ServerVersion.MAXIMUM_CHARACTERS))));
            }
            assertTrue(bytes(new PeerMessage.StreamOrigins(origins)) < MAXIMUM_FRAME_BYTES);
        }

        /** At 54 streams a second and three copies, a record may take a third of the planned 28 KB/s. */
        @Test
        void ofOneRecordKeepWithinThePlan() {
            int bytes = bytes(new PeerMessage.StreamOrigins(Map.of(attempt(1), ORIGIN)));
            assertTrue(54 * 3 * bytes < 28_000, bytes + " bytes");
        }

        private static int bytes(PeerMessage message) {
            return PeerMessageCodec.create().encode(message).length;
        }
    }
}
