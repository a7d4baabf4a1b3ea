package org.plantainwharf.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.call.Content;
import org.plantainwharf.error.Failure;
import org.plantainwharf.registry.ServerReport;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against one malformed message that makes a reader throw or that is accepted with values which fail later. Valid
 * input is mutated with a fixed seed; the system property {@code malformed.tries} sets the number of mutations.
 */
class MalformedInputTest {
    private static final int TRIES = Integer.getInteger("malformed.tries", 3_000);
    private static final long SEED = 20261205;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<String> VALUES = List.of(
            "null",
            "true",
            "-1",
            "0",
            "1e308",
            "-0.5",
            "9223372036854775808",
            "4294967297",
            "\"\"",
            "\"9\"",
            "\"\\u0000\"",
            "[]",
            "{}",
            "[null]",
            "[[[]]]",
            "{\"a\":{}}",
            "\"10.0.0.1:80\"");
    private static final String HEARTBEAT = """
            {"service": "engine", "address": "10.128.0.9:8080", "zone": "zone-a", "version": "v1", "slots": 64,
             "state": "draining", "warmup_remaining_ms": 0, "sequence": 4, "born": 1770000000000, "spot": true,
             "leaves_ms": 3000}
            """;
    private static final String SETTINGS = """
            {"node_name": "edge-1", "ip": "10.1.0.14", "zone": "zone-a", "internal_port_range": [7600, 7615],
             "bootstrap": true, "seed_nodes": ["10.1.0.16:8229", "10.2.0.6:8229"], "data_dir": "/data",
             "listen": {"frontend": "10.1.0.14:8221", "ready": "10.1.0.14:8224", "control_plane": "10.1.0.14:8229"},
             "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "quota_slack": 140000},
             "cloud_api": {"address": "10.200.0.35:8225"}}
            """;

    private final Random random = new Random(SEED);

    /** Returns valid JSON with one to three values replaced or removed, or with bytes changed or cut off. */
    private byte[] mutate(String valid) throws JsonProcessingException {
        if (random.nextInt(4) == 0) {
            byte[] bytes = valid.getBytes(StandardCharsets.UTF_8);
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            return random.nextBoolean() ? bytes : java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
        }
        JsonNode root = JSON.readTree(valid);
        for (int count = random.nextInt(3); count >= 0; count--) {
            List<JsonNode> containers = new ArrayList<>();
            collectContainers(root, containers);
            mutateOne(containers.get(random.nextInt(containers.size())));
        }
        return JSON.writeValueAsBytes(root);
    }

    private static void collectContainers(JsonNode node, List<JsonNode> containers) {
        if (node.isContainerNode()) {
            containers.add(node);
            node.forEach(child -> collectContainers(child, containers));
        }
    }

    private void mutateOne(JsonNode container) throws JsonProcessingException {
        JsonNode value = JSON.readTree(VALUES.get(random.nextInt(VALUES.size())));
        boolean remove = random.nextInt(4) == 0;
        switch (container) {
            case ObjectNode object
            when !object.isEmpty() -> {
                List<String> names = new ArrayList<>();
                object.fieldNames().forEachRemaining(names::add);
                String name = names.get(random.nextInt(names.size()));
                if (remove) {
                    object.remove(name);
                } else {
                    object.set(name, value);
                }
            }
            case ArrayNode array
            when !array.isEmpty() -> {
                int index = random.nextInt(array.size());
                if (remove) {
                    array.remove(index);
                } else {
                    array.set(index, value);
                }
            }
            default -> {}
        }
    }

    private static String describe(byte[] input) {
        return "seed " + SEED + ", input " + new String(input, StandardCharsets.UTF_8);
    }

    @Nested
    class Heartbeats {
        @Test
        void areReadOrRefusedAndNeverNameAnUnusableServer() throws JsonProcessingException {
            for (int count = 0; count < TRIES; count++) {
                byte[] input = mutate(HEARTBEAT);
                Either<Failure, ServerReport> read =
                        assertDoesNotThrow(() -> HeartbeatReader.read("i-1", input), () -> describe(input));
                if (read.isRight()) {
                    ServerReport report = read.get();
                    assertTrue(report.slots() > 0, () -> describe(input));
                    assertTrue(report.remainingWarmupMillis() >= 0, () -> describe(input));
                    assertTrue(report.millisUntilReclaim().orElse(0) >= 0, () -> describe(input));
                    assertTrue(!report.service().value().isEmpty(), () -> describe(input));
                }
            }
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "999.1.1.1:80",
                    "10.0.0.1:99999",
                    "10.0.0.1:0",
                    "10.0.0.256:80",
                    "10.0.0.1:80:80",
                    "010.0.0.1:99999999999999999999"
                })
        void withAnImpossibleAddressAreRefused(String address) {
            byte[] input = HEARTBEAT.replace("10.128.0.9:8080", address).getBytes(StandardCharsets.UTF_8);
            assertTrue(HeartbeatReader.read("i-1", input).isLeft(), address);
        }

        @ParameterizedTest
        @ValueSource(strings = {"-1", "\"3000\"", "1e400", "[]"})
        void withAnImpossibleTimeUntilTheReclaimAreRefused(String time) {
            byte[] input = HEARTBEAT.replace("3000", time).getBytes(StandardCharsets.UTF_8);
            assertTrue(HeartbeatReader.read("i-1", input).isLeft(), time);
        }
    }

    @Nested
    class Deregistrations {
        @Test
        void areReadWhateverTheirBodySays() throws JsonProcessingException {
            for (int count = 0; count < TRIES; count++) {
                byte[] input = mutate(HEARTBEAT);
                assertDoesNotThrow(() -> HeartbeatReader.startEpochMillis(input), () -> describe(input));
            }
        }
    }

    @Nested
    class Documents {
        @Test
        void areReadOrRefused() throws JsonProcessingException {
            for (int count = 0; count < TRIES; count++) {
                byte[] input = mutate(DocumentReaderTest.VALID);
                assertDoesNotThrow(
                        () -> DocumentReader.create().decode(Content.of("application/json", input)),
                        () -> describe(input));
            }
        }

        /** A reader that recurses for each level would end the thread with a StackOverflowError. */
        @Test
        void withDeeplyNestedValuesAreRefused() {
            byte[] input = ("{\"version\":" + "[".repeat(200_000)).getBytes(StandardCharsets.UTF_8);
            assertTrue(DocumentReader.create()
                    .decode(Content.of("application/json", input))
                    .isLeft());
        }
    }

    @Nested
    class SettingsFiles {
        @Test
        void areReadOrRefused() throws JsonProcessingException {
            for (int count = 0; count < TRIES; count++) {
                byte[] input = mutate(SETTINGS);
                assertDoesNotThrow(
                        () -> PlatformSettings.parse(new String(input, StandardCharsets.UTF_8))
                                .map(RoleSettingsMapper::toRoleSettings),
                        () -> describe(input));
            }
        }
    }
}
