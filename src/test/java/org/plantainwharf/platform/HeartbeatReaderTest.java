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
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
