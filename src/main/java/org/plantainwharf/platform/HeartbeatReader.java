package org.plantainwharf.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;

/**
 * Decodes heartbeats of backend servers. A body in another format, as another program may send it, is a failure, so that
 * it never adds a server. Stateless.
 */
final class HeartbeatReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private HeartbeatReader() {}

    static Either<Failure, ServerReport> read(String server, byte[] body) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.REQUEST_INVALID, "heartbeat is not valid JSON"));
        }
        FieldReader reader = FieldReader.of(root);
        String service = reader.string("service");
        String address = reader.address("address");
        String zone = reader.string("zone");
        Optional<ServerPhase> phase = phase(reader.string("state"));
        if (phase.isEmpty()) {
            reader.addProblem("state", "must be ready or draining");
        }
        long startEpochMillis = startEpochMillis(root, reader).orElse(0);
        long sequence = reader.integer("sequence", 0);
        int slots = (int) Math.min(Integer.MAX_VALUE, reader.integer("slots", 1));
        long remainingWarmupMillis = reader.integer("warmup_remaining_ms", 0, 0);
        boolean reclaimable = reader.bool("spot");
        OptionalLong millisUntilReclaim =
                root.path("leaves_ms").isMissingNode() || root.path("leaves_ms").isNull()
                        ? OptionalLong.empty()
                        : OptionalLong.of((long) reader.number("leaves_ms", 0));
        if (server.isBlank()) {
            reader.addProblem("id", "must not be empty");
        }
        return reader.build(
                ErrorKind.REQUEST_INVALID,
                () -> new ServerReport(
                        ServerId.of(server),
                        startEpochMillis,
                        sequence,
                        ServiceName.of(service),
                        address,
                        AvailabilityZone.of(zone),
                        slots,
                        phase.orElse(ServerPhase.GONE),
                        remainingWarmupMillis,
                        reclaimable,
                        millisUntilReclaim,
                        version(root.path("version"))));
    }

    /**
     * Returns the version in this field; unstated if it is missing. Another type than text is as good as text: what
     * counts is whether two servers state the same.
     */
    private static ServerVersion version(JsonNode field) {
        if (field.isMissingNode() || field.isNull()) {
            return ServerVersion.unstated();
        }
        String text = field.isTextual() ? field.textValue() : field.toString();
        // Half a surrogate pair is lost in messages between daemons, where different versions would become equal.
        return StandardCharsets.UTF_8.newEncoder().canEncode(text)
                ? ServerVersion.of(text)
                : ServerVersion.of(text.chars().mapToObj(Integer::toHexString).collect(Collectors.joining(" ")));
    }

    /**
     * Returns the start time in the body of a deregistration, in milliseconds since the epoch; empty if the body has none
     * or one that is not an integer.
     */
    static OptionalLong startEpochMillis(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            return root == null || !root.path("born").isIntegralNumber()
                    ? OptionalLong.empty()
                    : OptionalLong.of(root.path("born").asLong());
        } catch (IOException e) {
            // A deregistration needs no body, so one that is not JSON is accepted too.
            return OptionalLong.empty();
        }
    }

    private static OptionalLong startEpochMillis(JsonNode root, FieldReader reader) {
        return root.path("born").isMissingNode() ? OptionalLong.empty() : OptionalLong.of(reader.integer("born", 0));
    }

    private static Optional<ServerPhase> phase(String state) {
        return switch (state) {
            case "ready" -> Optional.of(ServerPhase.READY);
            case "draining" -> Optional.of(ServerPhase.LEAVING);
            default -> Optional.empty();
        };
    }
}
