package org.plantainwharf.platform;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;

/** Reads what a server says of itself. A report of another writer is a failure and names no server. Stateless. */
final class PingReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PingReader() {}

    static Either<Failure, ServerReport> read(String server, byte[] body) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.REQUEST_INVALID, "report is not JSON"));
        }
        FieldReader reader = FieldReader.of(root);
        String service = reader.text("service");
        String address = reader.text("address");
        String zone = reader.text("zone");
        Optional<ServerPhase> phase = phase(reader.text("state"));
        if (phase.isEmpty()) {
            reader.problem("state", "must be ready or draining");
        }
        if (!address.matches("[0-9]+(\\.[0-9]+){3}:[0-9]+")) {
            reader.problem("address", "must be an IP number and a port");
        }
        long born = born(root, reader).orElse(0);
        long sequence = reader.whole("sequence", 0);
        int slots = (int) reader.whole("slots", 1);
        long warmup = reader.whole("warmup_remaining_ms", 0, 0);
        boolean reclaimable = reader.flag("spot");
        OptionalLong leaves = root.path("leaves_ms").isNumber()
                ? OptionalLong.of(root.path("leaves_ms").asLong())
                : OptionalLong.empty();
        if (server.isBlank()) {
            reader.problem("id", "must not be empty");
        }
        return reader.build(
                ErrorKind.REQUEST_INVALID,
                () -> new ServerReport(
                        ServerId.of(server),
                        born,
                        sequence,
                        ServiceName.of(service),
                        address,
                        AvailabilityZone.of(zone),
                        slots,
                        phase.orElse(ServerPhase.GONE),
                        warmup,
                        reclaimable,
                        leaves));
    }

    /** Returns the start that a body names, which may be absent but not of another type. */
    static OptionalLong born(byte[] body) {
        try {
            JsonNode root = JSON.readTree(body);
            return root == null || !root.path("born").isIntegralNumber()
                    ? OptionalLong.empty()
                    : OptionalLong.of(root.path("born").asLong());
        } catch (IOException e) {
            // A call that needs no body may come with one that is not JSON.
            return OptionalLong.empty();
        }
    }

    private static OptionalLong born(JsonNode root, FieldReader reader) {
        return root.path("born").isMissingNode() ? OptionalLong.empty() : OptionalLong.of(reader.whole("born", 0));
    }

    private static Optional<ServerPhase> phase(String state) {
        return switch (state) {
            case "ready" -> Optional.of(ServerPhase.READY);
            case "draining" -> Optional.of(ServerPhase.LEAVING);
            default -> Optional.empty();
        };
    }
}
