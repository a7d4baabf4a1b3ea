package org.plantainwharf.platform;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against orders that are read as others, and against bodies that end in anything but an order or a refusal that names
 * every problem.
 */
class RolloutReaderTest {
    private static Either<Failure, RolloutReader.Order> read(String body) {
        return RolloutReader.readOrder(body.getBytes(StandardCharsets.UTF_8));
    }

    private static String problem(String body) {
        Either<Failure, RolloutReader.Order> read = read(body);
        assertTrue(read.isLeft(), () -> "accepted as " + read.get());
        assertEquals(ErrorKind.ROLLOUT_INVALID, read.getLeft().kind());
        assertTrue(read.getLeft().message().length() < 2_000, "the body is sent back");
        return read.getLeft().message();
    }

    @Nested
    class ValidOrders {
        @ParameterizedTest
        @CsvSource({
            "12,12000",
            "0.5,500",
            "1.5e1,15000",
            "86400,86400000",
            "0.0001,1",
            "1e-300,1",
            "1.0000001,1001",
            "12.345,12345",
            "0.29,290"
        })
        void areReadToTheMillisecond(String duration, long millis) {
            RolloutReader.Order order = read("{\"service\":\"huvo11a\",\"target\":\"v2\",\"duration_s\":" + duration
                            + "}")
                    .get();
            assertEquals(new RolloutReader.Order(ServiceName.of("huvo11a"), ServerVersion.of("v2"), millis), order);
        }

        @Test
        void mayHaveVersionsOfTheLargestLength() {
            String version = "v".repeat(80);
            assertEquals(
                    version,
                    read("{\"service\":\"s\",\"target\":\"" + version + "\",\"duration_s\":1}")
                            .get()
                            .target()
                            .value());
        }
    }

    @Nested
    class InvalidOrders {
        static Stream<Arguments> bodies() {
            String rest = ",\"target\":\"v2\",\"duration_s\":12}";
            return Stream.of(
                    Arguments.of("", "not a JSON object"),
                    Arguments.of("\u0000\u0001", "body must be one JSON object"),
                    Arguments.of("{", "body must be one JSON object"),
                    Arguments.of("[]", "not a JSON object"),
                    Arguments.of("null", "not a JSON object"),
                    Arguments.of("12", "not a JSON object"),
                    Arguments.of("{\"service\":\"s\"" + rest + "x", "body must be one JSON object"),
                    Arguments.of("{\"service\":\"s\",\"service\":\"t\"" + rest, "body must be one JSON object"),
                    Arguments.of("[".repeat(100_000), "body must be one JSON object"),
                    Arguments.of("{\"a\":".repeat(5_000), "body must be one JSON object"),
                    Arguments.of("{\"service\":[[{}]]" + rest, "service must be a non-empty string, got [[{}]]"),
                    Arguments.of("{\"service\":\"\"" + rest, "service must be a non-empty string, got \"\""),
                    Arguments.of("{\"service\":\"  \"" + rest, "service must be a non-empty string"),
                    Arguments.of("{\"service\":7" + rest, "service must be a non-empty string, got 7"),
                    Arguments.of("{\"service\":\"\\ud800\"" + rest, "service must be Unicode text"),
                    Arguments.of("{\"a\":1" + rest, "service must be a non-empty string, got nothing"),
                    Arguments.of("{\"service\":\"s\",\"target\":null,\"duration_s\":1}", "target must be"),
                    Arguments.of(
                            "{\"service\":\"s\",\"target\":\"" + "v".repeat(81) + "\",\"duration_s\":1}",
                            "target must have at most 80 characters"));
        }

        @ParameterizedTest
        @MethodSource("bodies")
        void nameTheProblem(String body, String problem) {
            assertTrue(problem(body).contains(problem), problem(body));
        }

        @ParameterizedTest
        @CsvSource(
                quoteCharacter = '`',
                value = {
                    "0",
                    "-1",
                    "-0.0",
                    "86400.001",
                    "1e400",
                    "1e99999",
                    "1e2147483647",
                    "1e99999999999",
                    "123456789012345678901234567890",
                    "NaN",
                    "Infinity",
                    "`\"12\"`",
                    "null",
                    "true",
                    "{}"
                })
        void ofDurationsAreRefused(String duration) {
            String message = problem("{\"service\":\"s\",\"target\":\"v\",\"duration_s\":" + duration + "}");
            assertTrue(
                    message.contains("duration_s must be a number above 0 and at most 86400, got ")
                            || message.contains("body must be one JSON object"),
                    message);
        }

        @Test
        void nameAllProblemsAtOnce() {
            String message = problem("{\"service\":3,\"target\":\"\",\"duration_s\":-2}");
            assertTrue(message.contains("service must"), message);
            assertTrue(message.contains("target must"), message);
            assertTrue(message.contains("duration_s must"), message);
        }

        /** Random changes to a valid order must end in an order or in a refusal. */
        @Test
        void ofRandomBytesNeverFailInAnotherWay() {
            byte[] valid = "{\"service\":\"huvo11a\",\"target\":\"v2\",\"duration_s\":12.5e0}"
                    .getBytes(StandardCharsets.UTF_8);
            for (long seed = 0; seed < 5_000; seed++) {
                SplittableRandom random = new SplittableRandom(seed);
                byte[] body = valid.clone();
                int changes = random.nextInt(1, 4);
                for (int change = 0; change < changes; change++) {
                    body[random.nextInt(body.length)] = (byte) random.nextInt();
                }
                try {
                    RolloutReader.readOrder(body)
                            .peekLeft(failure -> assertEquals(ErrorKind.ROLLOUT_INVALID, failure.kind()));
                } catch (RuntimeException e) {
                    throw new AssertionError("seed " + seed, e);
                }
            }
        }
    }

    @Nested
    class ServicesInPaths {
        @ParameterizedTest
        @CsvSource({
            "huvo11a,huvo11a",
            "a%20b,a b",
            "a%2Fb,a/b",
            "a/b,a/b",
            "a%3bb,a;b",
            "a;b,a;b",
            "a+b,a+b",
            "%C3%A4,\u00e4",
            "\u00e4,\u00e4",
            "%25,%"
        })
        void areDecoded(String encoded, String service) {
            assertEquals(
                    ServiceName.of(service), RolloutReader.readService(encoded).get());
            assertEquals(
                    ServiceName.of(service),
                    RolloutReader.readService(PathSegments.encode(service)).get());
        }

        @ParameterizedTest
        @CsvSource({"''", "%", "%2", "%zz", "%ff", "%20", "a%c3"})
        void thatAreNoNameAreRefused(String encoded) {
            Failure failure = RolloutReader.readService(encoded).getLeft();
            assertEquals(ErrorKind.ROLLOUT_INVALID, failure.kind());
            assertTrue(failure.message().contains("service must be"), failure.message());
        }
    }
}
