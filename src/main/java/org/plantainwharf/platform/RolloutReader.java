package org.plantainwharf.platform;

import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.rollout.RolloutOrderRules;

/** Decodes operators' calls on rollouts. Whatever a body holds, the result is an order or every problem in it. Stateless. */
final class RolloutReader {
    private static final ObjectReader JSON = new ObjectMapper()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .reader();

    private static final int MILLISECOND_DIGITS = 3;

    /** A valid order. Immutable. */
    record Order(ServiceName service, ServerVersion target, long durationMillis) {}

    private RolloutReader() {}

    /** Returns the order in the body of a call that begins a rollout. */
    static Either<Failure, Order> readOrder(byte[] body) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return invalid("body must be one JSON object, got invalid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return invalid("body must be one JSON object, got no text: " + e.getMessage());
        }
        FieldReader reader = FieldReader.of(root);
        String service = text(root, reader, "service");
        String target = text(root, reader, "target");
        if (target.length() > ServerVersion.MAXIMUM_CHARACTERS) {
            reader.addProblem("target", "must have at most " + ServerVersion.MAXIMUM_CHARACTERS + " characters");
        }
        long durationMillis = durationMillis(root, reader);
        return reader.build(
                ErrorKind.ROLLOUT_INVALID,
                () -> new Order(ServiceName.of(service), ServerVersion.of(target), durationMillis));
    }

    /** Returns the service that a path names after its prefix, percent-encoded or not. */
    static Either<Failure, ServiceName> readService(String encoded) {
        return PathSegments.decode(encoded)
                .filter(service -> !service.isBlank())
                .<Either<Failure, ServiceName>>map(service -> Either.right(ServiceName.of(service)))
                .orElseGet(() -> invalid("service must be a name at the end of the path, percent-encoded UTF-8, got \""
                        + FieldReader.abbreviate(encoded) + "\""));
    }

    private static <T> Either<Failure, T> invalid(String problem) {
        return Either.left(Failure.of(ErrorKind.ROLLOUT_INVALID, problem));
    }

    private static String text(JsonNode root, FieldReader reader, String name) {
        JsonNode value = root.path(name);
        String text = value.isTextual() ? value.textValue() : "";
        if (text.isBlank()) {
            reader.addProblem(name, "must be a non-empty string");
        } else if (!StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
            // Half a surrogate pair is lost in messages between daemons, where different names would become equal.
            reader.addProblem(name, "must be Unicode text without half surrogate pairs");
        }
        return text;
    }

    /** Returns the duration, rounded up to whole milliseconds, so that no positive one becomes 0. */
    private static long durationMillis(JsonNode root, FieldReader reader) {
        JsonNode value = root.path("duration_s");
        Duration maximum = RolloutOrderRules.MAXIMUM_DURATION;
        double seconds = value.isNumber() ? value.doubleValue() : 0;
        if (seconds > 0 && seconds <= maximum.toSeconds()) {
            // The decimal digits as they were sent: a product of binary fractions may be above the next millisecond.
            return BigDecimal.valueOf(seconds)
                    .movePointRight(MILLISECOND_DIGITS)
                    .setScale(0, RoundingMode.CEILING)
                    .longValueExact();
        }
        reader.addProblem("duration_s", "must be a number above 0 and at most " + maximum.toSeconds());
        return 0;
    }
}
