package org.plantainwharf.platform;

import java.math.BigInteger;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.BigIntegerNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against numbers of a config that are accepted and then served as other numbers. */
class DocumentNumbersTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An integer of a config, and what it is after it has been read. */
    private enum Field {
        VERSION("/version", ServiceDocument::version),
        TIMEOUT("/routes/0/timeout_ms", document -> route(document).timeoutMillis()),
        TARGET_LATENCY(
                "/routes/0/target_latency_ms", document -> route(document).targetLatencyMillis()),
        PRIORITY("/routes/0/priority", document -> route(document).priority()),
        MAXIMUM_ATTEMPTS("/routes/0/max_attempts", document -> route(document).maximumAttempts()),
        EVENT_INTERVAL("/routes/0/itl_target_ms", document -> route(document).targetEventIntervalMillis()),
        FIRST_WEIGHT(
                "/routes/0/traffic_split/0/weight",
                document -> route(document).split().get(0).weight()),
        SECOND_WEIGHT(
                "/routes/0/traffic_split/1/weight",
                document -> route(document).split().get(1).weight()),
        CONNECTIONS("/services/0/max_connections", document -> engine(document).maximumConnections()),
        SLOTS(
                "/services/0/engine/slots",
                document -> engine(document).engine().orElseThrow().slots()),
        MEMORY(
                "/services/0/engine/kv_capacity_tokens",
                document -> engine(document).engine().orElseThrow().memoryCapacityTokens()),
        MINIMUM_SERVERS("/services/0/scaling/min", document ->
                (long) engine(document).scaling().orElseThrow().minimumServers()),
        MAXIMUM_SERVERS(
                "/services/0/scaling/max",
                document -> engine(document).scaling().orElseThrow().maximumServers()),
        HEADER_TIMEOUT(
                "/limits/header_timeout_ms", document -> document.bounds().headerTimeoutMillis()),
        IDLE_TIMEOUT("/limits/idle_timeout_ms", document -> document.bounds().idleTimeoutMillis()),
        ACCOUNT_PRIORITY(
                "/tenants/0/priority", document -> account(document).priority().orElseThrow()),
        DEFAULT_TOKENS(
                "/tenants/0/uncached_tokens", document -> account(document).defaultTokens());

        private final String pointer;
        private final Function<ServiceDocument, Long> read;

        Field(String pointer, Function<ServiceDocument, Long> read) {
            this.pointer = pointer;
            this.read = read;
        }

        private String name(String separator) {
            return pointer.replaceAll("/[0-9]+", "").substring(1).replace("/", separator);
        }

        private static RouteRule route(ServiceDocument document) {
            return document.routes().getFirst();
        }

        private static ServiceRule engine(ServiceDocument document) {
            return document.services().entrySet().stream()
                    .filter(entry -> entry.getKey().equals(ServiceName.of("engine")))
                    .findFirst()
                    .orElseThrow()
                    .getValue();
        }

        private static AccountRule account(ServiceDocument document) {
            return document.accounts().getFirst();
        }
    }

    private static Either<Failure, ServiceDocument> decodeWith(String pointer, BigInteger value)
            throws JsonProcessingException {
        ObjectNode root = (ObjectNode) JSON.readTree(DocumentReaderTest.VALID);
        int slash = pointer.lastIndexOf('/');
        ObjectNode parent = (ObjectNode) (slash == 0 ? root : root.at(pointer.substring(0, slash)));
        parent.set(pointer.substring(slash + 1), BigIntegerNode.valueOf(value));
        return DocumentReaderTest.decode(root.toString());
    }

    /** Draws numbers at and beyond the limits of an int and of a long, and any others. */
    @Provide
    Arbitrary<BigInteger> numbers() {
        List<BigInteger> limits = List.of(
                BigInteger.ZERO,
                BigInteger.ONE.shiftLeft(31),
                BigInteger.ONE.shiftLeft(32),
                BigInteger.ONE.shiftLeft(33),
                BigInteger.ONE.shiftLeft(62),
                BigInteger.ONE.shiftLeft(63),
                BigInteger.ONE.shiftLeft(64),
                BigInteger.ONE.shiftLeft(65),
                BigInteger.ONE.shiftLeft(31).negate(),
                BigInteger.ONE.shiftLeft(63).negate());
        Arbitrary<BigInteger> near = Arbitraries.of(limits)
                .flatMap(limit ->
                        Arbitraries.integers().between(-3, 3).map(offset -> limit.add(BigInteger.valueOf(offset))));
        return Arbitraries.oneOf(
                near,
                Arbitraries.bigIntegers().between(BigInteger.ONE.shiftLeft(66).negate(), BigInteger.ONE.shiftLeft(66)));
    }

    @Group
    @Label("Integers")
    class Integers {
        /** A weight of 4,294,967,297 was served as 1, and one of 2,147,483,648 as a negative one. */
        @Property(tries = 4_000)
        void areServedAsWrittenOrRefused(@ForAll Field field, @ForAll("numbers") BigInteger value)
                throws JsonProcessingException {
            Either<Failure, ServiceDocument> decoded = decodeWith(field.pointer, value);
            if (decoded.isRight()) {
                assertEquals(value, BigInteger.valueOf(field.read.apply(decoded.get())), field.pointer);
            } else {
                Failure failure = decoded.getLeft();
                assertEquals(ErrorKind.DOCUMENT_INVALID, failure.kind());
                assertTrue(failure.message().contains(value.toString()), failure.message());
                assertTrue(failure.message().contains(" of at "), failure.message());
                // Errors of weights name the list too, since their sum counts.
                assertTrue(
                        failure.message().contains(field.name("."))
                                || failure.message().contains("traffic_split"),
                        failure.message());
            }
        }

        /** What a page allows is served; only the number of servers has a bound, as all of them are ordered. */
        @Property(tries = 2_000)
        void areServedIfTheyArePositiveAndFitIntoALong(@ForAll Field field, @ForAll("numbers") BigInteger value)
                throws JsonProcessingException {
            BigInteger largest = field == Field.MINIMUM_SERVERS
                    ? BigInteger.valueOf(ServiceRule.Scaling.MAXIMUM_SERVERS / 2)
                    : BigInteger.valueOf(Long.MAX_VALUE);
            // The other weight of the split counts in the sum.
            BigInteger others = field == Field.FIRST_WEIGHT || field == Field.SECOND_WEIGHT
                    ? BigInteger.valueOf(100)
                    : BigInteger.ZERO;
            if (value.signum() > 0 && value.add(others).compareTo(largest) <= 0) {
                assertTrue(decodeWith(field.pointer, value).isRight(), field.pointer + " " + value);
            }
        }
    }

    @Group
    @Label("Other numbers")
    class OtherNumbers {
        /** A price that is no number was taken for 0, and so for the cheapest zone. */
        @Property(tries = 20)
        void areRefusedIfTheyAreNone(@ForAll("texts") String value) throws JsonProcessingException {
            for (String pointer : List.of(
                    "/services/0/scaling/zone_prices/zone-a",
                    "/services/0/scaling/boot_s",
                    "/services/0/scaling/spot_price",
                    "/tenants/0/rate_per_s",
                    "/tenants/0/burst",
                    "/tenants/0/priority")) {
                ObjectNode root = (ObjectNode) JSON.readTree(DocumentReaderTest.VALID);
                int slash = pointer.lastIndexOf('/');
                ((ObjectNode) root.at(pointer.substring(0, slash)))
                        .set(pointer.substring(slash + 1), JSON.readTree(value));
                Either<Failure, ServiceDocument> decoded = DocumentReaderTest.decode(root.toString());
                assertTrue(decoded.isLeft(), pointer + " " + value);
                String message = decoded.getLeft().message();
                assertTrue(message.contains(pointer.substring(slash + 1) + " must be"), message);
            }
        }

        @Provide
        Arbitrary<String> texts() {
            return Arbitraries.of("\"1\"", "\"\"", "true", "[]", "{}", "\"NaN\"", "[1]");
        }
    }
}
