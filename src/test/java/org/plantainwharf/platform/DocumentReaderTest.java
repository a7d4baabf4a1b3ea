package org.plantainwharf.platform;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.call.Content;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.document.Repeatability;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a config that is decoded incompletely, and against an invalid or truncated config that is accepted in
 * part.
 */
class DocumentReaderTest {
    static final String VALID = """
            {"version": 7,
             "routes": [
               {"name": "r-1", "host": "a.example", "path_prefix": "/one/", "type": "streaming", "timeout_ms": 15000,
                "target_latency_ms": 2000, "priority": 2, "max_attempts": 2, "public": false, "session_affinity": true,
                "stream_resume": true, "itl_target_ms": 400,
                "traffic_split": [{"service": "engine", "weight": 90}, {"service": "desk", "weight": 10}]},
               {"name": "r-2", "host": "a.example", "path_prefix": "/two/", "type": "unsafe", "timeout_ms": 600,
                "service": "desk", "public": true}],
             "services": [
               {"name": "engine", "health_path": "/healthz", "max_connections": 360,
                "engine": {"slots": 64, "kv_capacity_tokens": 599060, "models": [{"name": "m"}]},
                "scaling": {"min": 1, "max": 4, "boot_s": 4.0, "spot_price": 0.18,
                            "zone_prices": {"zone-a": 1.0, "zone-b": 0.8}}},
               {"name": "desk", "health_path": "/healthz", "max_connections": 100}],
             "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                        "idle_timeout_ms": 15000},
             "tenants": [
               {"name": "acme", "api_keys": ["k1", "k2"], "priority": 1, "unit": "token_count",
                "uncached_tokens": 200, "rate_per_s": 149370, "burst": 149370},
               {"name": "bold", "api_keys": ["k3"]}],
             "unknown_field": [1, 2]}
            """;

    static Either<Failure, ServiceDocument> decode(String text) {
        return DocumentReader.create().decode(Content.of("application/json", text.getBytes(StandardCharsets.UTF_8)));
    }

    @Nested
    class ValidDocument {
        private final ServiceDocument document = decode(VALID).get();

        @Test
        void readsRoutesWithTheirTrafficSplit() {
            RouteRule route = document.routes().getFirst();
            assertEquals(7, document.version());
            assertEquals(Repeatability.STREAM, route.repeatability());
            assertEquals(
                    List.of(
                            new RouteRule.Share(ServiceName.of("engine"), 90),
                            new RouteRule.Share(ServiceName.of("desk"), 10)),
                    route.split());
            assertEquals(15_000, route.timeoutMillis());
            assertTrue(route.resumable());
            assertEquals(400, route.targetEventIntervalMillis());
        }

        @Test
        void givesARouteWithOneServiceOneShare() {
            RouteRule route = document.routes().get(1);
            assertEquals(List.of(new RouteRule.Share(ServiceName.of("desk"), 1)), route.split());
            assertEquals(1, route.maximumAttempts());
            assertTrue(route.allowsAnonymous());
        }

        @Test
        void readsScalingBoundsAndZonePricesOfAService() {
            ServiceRule.Scaling scaling = Optional.ofNullable(
                            document.services().get(ServiceName.of("engine")))
                    .flatMap(ServiceRule::scaling)
                    .orElseThrow();
            assertEquals(1, scaling.minimumServers());
            assertEquals(4, scaling.maximumServers());
            assertEquals(4_000, scaling.startupMillis());
            assertEquals(0.8, scaling.zonePrices().get(AvailabilityZone.of("zone-b")));
        }

        /** A limit beyond the range of int became negative, so that every request was too large. */
        @ParameterizedTest
        @ValueSource(longs = {Integer.MAX_VALUE, 1L << 31, 1L << 32, Long.MAX_VALUE})
        void readsLimitsThatAreLargerThanAnyMessage(long limit) {
            CallerBounds bounds = decode(
                            VALID.replace("16384", String.valueOf(limit)).replace("4194304", String.valueOf(limit)))
                    .get()
                    .bounds();
            assertEquals(Integer.MAX_VALUE, bounds.maximumBodyBytes());
            assertEquals(Integer.MAX_VALUE, bounds.maximumHeaderBytes());
        }

        @Test
        void readsAccountsWithATokenLimitAndWithoutLimit() {
            AccountRule limited = document.accounts().get(0);
            AccountRule unlimited = document.accounts().get(1);
            assertTrue(limited.limited() && limited.limitCountsTokens());
            assertEquals(200, limited.defaultTokens());
            assertTrue(!unlimited.limited());
        }
    }

    @Nested
    class InvalidDocuments {
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "/version | \"7\"",
                    "/version | null",
                    "/version | 7.5",
                    "/routes | 5",
                    "/routes/0/timeout_ms | 0",
                    "/routes/0/timeout_ms | -1",
                    "/routes/0/timeout_ms | \"9\"",
                    "/routes/0/host | 4",
                    "/routes/0/path_prefix | null",
                    "/routes/0/type | \"sometimes\"",
                    "/routes/0/traffic_split/0/service | \"nowhere\"",
                    "/routes/0/traffic_split | [{\"service\": \"desk\", \"weight\": 0}]",
                    "/routes/0/traffic_split | [{\"service\": \"desk\", \"weight\": -1}]",
                    "/routes/1/service | \"nowhere\"",
                    "/routes/1/service | null",
                    "/routes/1/path_prefix | \"/one/\"",
                    "/routes/0/max_attempts | 0",
                    "/services/0/name | \"\"",
                    "/services | {}",
                    "/tenants/1/api_keys | [\"k1\"]",
                    "/tenants/0/rate_per_s | -5",
                    "/tenants/0/name | 3",
                    "/limits/max_body_bytes | 0",
                })
        void areRejectedEntirely(String pointer, String value) throws JsonProcessingException {
            ObjectMapper mapper = new ObjectMapper();
            ObjectNode root = (ObjectNode) mapper.readTree(VALID);
            int slash = pointer.lastIndexOf('/');
            ObjectNode parent = (ObjectNode) (slash == 0 ? root : root.at(pointer.substring(0, slash)));
            parent.set(pointer.substring(slash + 1), mapper.readTree(value));
            assertEquals(
                    ErrorKind.DOCUMENT_INVALID,
                    decode(root.toString()).getLeft().kind());
        }

        @Test
        void truncatedAtAnyOffsetAreRejected() {
            String complete = VALID.strip();
            for (int length = 0; length < complete.length(); length += 7) {
                assertTrue(decode(complete.substring(0, length)).isLeft(), "truncated at character " + length);
            }
        }

        @Test
        void withTrailingContentAreRejected() {
            assertTrue(decode(VALID + "{}").isLeft());
        }

        @Test
        void withADuplicateFieldAreRejected() {
            assertTrue(decode(VALID.replace("\"version\": 7,", "\"version\": 7, \"version\": 8,"))
                    .isLeft());
        }

        @Test
        void reportAllProblemsTogether() {
            String text =
                    VALID.replace("\"timeout_ms\": 600", "\"timeout_ms\": 0").replace("\"k3\"", "\"k1\"");
            String message = decode(text).getLeft().message();
            assertTrue(message.contains("timeout_ms") && message.contains("share a key"), message);
        }
    }
}
