package org.plantainwharf.front;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerKind;

/** Parses the JSON of announcements and platform notices into events. Stateless; thread-safe. */
final class AnnouncementReader {
    private static final int MAXIMUM_SLOTS = 100_000;
    // Literal IP addresses only: resolving a host name blocks, and its address can change.
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9A-Fa-f:.]{2,45}\\]):\\d{1,5}");

    private AnnouncementReader() {}

    /** Reports an invalid field; thrown and caught within this class. */
    private static final class InvalidFieldException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvalidFieldException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Parses an announcement.
     *
     * @param ticket identifies the exchange that the announcement is answered on
     * @return the event, or a failure that names the first invalid field
     */
    static Either<Failure, ServerEvent.ServerAnnounced> readAnnouncement(JsonNode body, long ticket) {
        return parse(() -> new ServerEvent.ServerAnnounced(
                new Announcement(
                        ServerId.of(text(body, "server")),
                        number(body, "incarnation", Long.MAX_VALUE),
                        number(body, "sequence", Long.MAX_VALUE),
                        parseAddress(body),
                        AvailabilityZone.of(text(body, "zone")),
                        HostClass.of(text(body, "hostClass")),
                        parseKind(body),
                        (int) number(body, "slots", MAXIMUM_SLOTS),
                        parseLoad(body.path("load")),
                        body.path("leaving").asBoolean(false)),
                body.path("token").asLong(0),
                ticket));
    }

    /** Parses a reclaim notice of the platform, which names either a backend server or an entry host. */
    static Either<Failure, PlatformEvent> readNotice(JsonNode body) {
        return parse(() -> {
            long millis = number(body, "noticeMillis", Long.MAX_VALUE);
            return body.has("server")
                    ? new PlatformEvent.ServerReclaimNoticed(ServerId.of(text(body, "server")), millis)
                    : new PlatformEvent.HostReclaimNoticed(HostId.of(text(body, "host")), millis);
        });
    }

    private static <T> Either<Failure, T> parse(java.util.function.Supplier<T> parser) {
        try {
            return Either.right(parser.get());
        } catch (InvalidFieldException e) {
            return Either.left(Failure.of(ErrorKind.REQUEST_INVALID, String.valueOf(e.getMessage())));
        }
    }

    private static ServerKind parseKind(JsonNode body) {
        String kind = text(body, "kind");
        return switch (kind) {
            case "model-engine" ->
                new ServerKind.ModelEngine(
                        parseNames(body, "models", ModelName::of),
                        body.path("checksFencing").asBoolean(false),
                        body.path("movesCache").asBoolean(false));
            case "plain-service" -> new ServerKind.PlainService(parseNames(body, "routes", RouteName::of));
            default -> throw new InvalidFieldException("kind must be model-engine or plain-service");
        };
    }

    private static LoadReport parseLoad(JsonNode load) {
        return load.isMissingNode()
                ? LoadReport.idle()
                : new LoadReport(
                        (int) number(load, "running", MAXIMUM_SLOTS),
                        (int) number(load, "queued", MAXIMUM_SLOTS),
                        number(load, "ageMillis", Long.MAX_VALUE));
    }

    private static String parseAddress(JsonNode body) {
        String address = text(body, "address");
        if (!ADDRESS.matcher(address).matches()) {
            throw new InvalidFieldException("address must be an IP address and a port");
        }
        return address;
    }

    private static <T> Set<T> parseNames(JsonNode body, String field, Function<String, T> factory) {
        Set<T> names = new HashSet<>();
        for (JsonNode name : body.path(field)) {
            if (!name.isTextual() || name.asText().isBlank()) {
                throw new InvalidFieldException(field + " must be an array of non-blank strings");
            }
            names.add(factory.apply(name.asText()));
        }
        return names;
    }

    private static String text(JsonNode body, String field) {
        JsonNode value = body.path(field);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw new InvalidFieldException(field + " must be a non-blank string");
        }
        return value.asText();
    }

    private static long number(JsonNode body, String field, long maximum) {
        JsonNode value = body.path(field);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0 || value.asLong() > maximum) {
            throw new InvalidFieldException(field + " must be an integer from 0 to " + maximum);
        }
        return value.asLong();
    }
}
