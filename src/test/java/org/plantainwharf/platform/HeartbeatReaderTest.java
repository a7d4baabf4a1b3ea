package org.plantainwharf.platform;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against fields of a heartbeat that are lost, and against invalid heartbeats that are accepted. */
class HeartbeatReaderTest {
    private static final String VALID = """
            {"service": "engine", "address": "10.128.0.9:8080", "zone": "zone-a", "version": "v1", "slots": 64,
             "state": "ready", "warmup_remaining_ms": 20, "phase": "unified", "models": [{"name": "m"}],
             "sequence": 4, "born": 1779988125674}
            """;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Nested
    class Reports {
        @Test
        void haveEveryFieldRead() {
            ServerReport report = HeartbeatReader.read("i-1", bytes(VALID)).get();
            assertEquals("i-1", report.server().value());
            assertEquals(4, report.sequence());
            assertEquals(1_779_988_125_674L, report.startEpochMillis());
            assertEquals(ServerPhase.READY, report.phase());
            assertEquals(20, report.remainingWarmupMillis());
            assertEquals(OptionalLong.empty(), report.millisUntilReclaim());
        }

        @Test
        void ofReclaimableServersIncludeTheTimeUntilReclaim() {
            String text = VALID.replace(
                    "\"state\": \"ready\"", "\"state\": \"draining\", \"spot\": true, \"leaves_ms\": 2100");
            ServerReport report = HeartbeatReader.read("i-1", bytes(text)).get();
            assertTrue(report.reclaimable());
            assertEquals(ServerPhase.LEAVING, report.phase());
            assertEquals(OptionalLong.of(2_100), report.millisUntilReclaim());
        }

        @Test
        void mayOmitTheStartTime() {
            String text = VALID.replace(", \"born\": 1779988125674", "");
            assertEquals(0, HeartbeatReader.read("i-1", bytes(text)).get().startEpochMillis());
        }
    }

    /** Guards against versions that are lost, taken for one another, or larger than a report may be. */
    @Nested
    class Versions {
        private static ServerVersion version(String json) {
            return HeartbeatReader.read("i-1", bytes(VALID.replace("\"v1\"", json)))
                    .get()
                    .version();
        }

        @Test
        void areReadAsStated() {
            assertEquals(ServerVersion.of("v1"), version("\"v1\""));
            assertEquals(ServerVersion.of("2.0 \u00e9"), version("\"2.0 \u00e9\""));
        }

        @Test
        void thatAreMissingAreUnstated() {
            assertEquals(ServerVersion.unstated(), version("null"));
            assertEquals(ServerVersion.unstated(), version("\"\""));
            String text = VALID.replace(" \"version\": \"v1\",", "");
            assertEquals(
                    ServerVersion.unstated(),
                    HeartbeatReader.read("i-1", bytes(text)).get().version());
        }

        /** Two servers must not count as the same version because neither states it as text. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {"1|2", "true|false", "[1]|[2]", "{\"a\": 1}|{\"a\": 2}", "{}|[]"})
        void ofAnotherTypeThanTextStayApart(String one, String other) {
            assertEquals(version(one), version(one));
            assertNotEquals(version(one), version(other));
            assertTrue(version(one).stated());
        }

        @Test
        void thatAreVeryLongStayApartAndBounded() {
            String text = "x".repeat(100_000);
            assertNotEquals(version("\"" + text + "a\""), version("\"" + text + "b\""));
            assertTrue(version("\"" + text + "\"").value().length() <= ServerVersion.MAXIMUM_CHARACTERS);
        }

        /** UTF-8 has no half of a surrogate pair, so both would reach other daemons as a question mark. */
        @Test
        void thatAreNotUnicodeStayApart() {
            assertNotEquals(version("\"\\ud800\""), version("\"\\ud801\""));
            String text = version("\"\\ud800\"").value();
            assertEquals(text, new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8));
        }
    }

    /** Guards against adding a backend server from the heartbeat of another program. */
    @Nested
    class InvalidReports {
        @ParameterizedTest
        @ValueSource(strings = {"service", "address", "zone", "slots", "state", "sequence"})
        void withoutARequiredFieldAreRejected(String field) throws JsonProcessingException {
            ObjectNode root = (ObjectNode) new ObjectMapper().readTree(VALID);
            root.remove(field);
            assertTrue(HeartbeatReader.read("i-1", bytes(root.toString())).isLeft());
        }

        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "service | 5",
                    "service | \"\"",
                    "address | \"elsewhere\"",
                    "address | \"10.0.0.1\"",
                    "address | \"host.example:80\"",
                    "zone | []",
                    "slots | 0",
                    "slots | \"64\"",
                    "state | \"resting\"",
                    "state | true",
                    "sequence | -1",
                    "sequence | 1.5",
                    "sequence | \"4\"",
                    "born | \"x\"",
                    "born | 3.5",
                    "born | null",
                    "warmup_remaining_ms | \"soon\"",
                    "spot | \"yes\"",
                })
        void withAFieldOfTheWrongTypeOrValueAreRejected(String field, String value) throws JsonProcessingException {
            ObjectMapper mapper = new ObjectMapper();
            ObjectNode root = (ObjectNode) mapper.readTree(VALID);
            root.set(field, mapper.readTree(value));
            assertTrue(HeartbeatReader.read("i-1", bytes(root.toString())).isLeft());
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "[]", "null", "5", "{", "\u0000\u0001"})
        void thatAreNotAJsonObjectAreRejected(String text) {
            assertTrue(HeartbeatReader.read("i-1", bytes(text)).isLeft());
        }
    }

    @Nested
    class Deregistrations {
        @Test
        void mayIncludeTheStartTime() {
            assertEquals(OptionalLong.of(9), HeartbeatReader.startEpochMillis(bytes("{\"born\": 9}")));
            assertEquals(OptionalLong.empty(), HeartbeatReader.startEpochMillis(bytes("")));
            assertEquals(OptionalLong.empty(), HeartbeatReader.startEpochMillis(bytes("{\"born\": \"9\"}")));
            assertEquals(OptionalLong.empty(), HeartbeatReader.startEpochMillis(bytes("{")));
        }
    }
}
