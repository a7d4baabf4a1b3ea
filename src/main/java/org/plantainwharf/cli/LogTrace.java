package org.plantainwharf.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;

/**
 * Reads the logs of several daemons and reports the events of one request, those of the rollouts of a service, or the number
 * of lines for each event and error kind. Stateless; thread-safe.
 */
final class LogTrace {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> VERDICTS = Set.of("completed", "rolled_back");

    private LogTrace() {}

    /** A parsed log line and its timestamp, which orders the lines of several daemons. Immutable. */
    private record LogLine(long millis, JsonNode object) {}

    /**
     * Returns the lines of one request in time order, among them those on requests that take its stream up, or an error
     * message if there are none or a file is unreadable.
     */
    static Either<String, String> traceRequest(List<Path> files, String request) {
        return read(files).flatMap(lines -> {
            List<LogLine> found = lines.stream()
                    .filter(line -> names(line, "request", request) || names(line, "first_attempt", request))
                    .sorted(Comparator.comparingLong(LogLine::millis))
                    .toList();
            if (found.isEmpty()) {
                return Either.left("no log line found for request " + request);
            }
            return Either.right(format(withRolloutPhases(found, lines), request));
        });
    }

    /**
     * Returns the log lines on the rollouts of a service in time order, or an error message if there are none or a file is
     * unreadable.
     */
    static Either<String, String> traceRollouts(List<Path> files, String service) {
        return read(files).flatMap(lines -> {
            List<LogLine> found = lines.stream()
                    .filter(line -> line.object().path("event").asText().startsWith("rollout_")
                            && names(line, "service", service))
                    .sorted(Comparator.comparingLong(LogLine::millis))
                    .toList();
            return found.isEmpty()
                    ? Either.left("no log line found for rollouts of service " + service)
                    : Either.right(format(found, ""));
        });
    }

    /**
     * Adds the phases of rollouts in which the daemons of a request were while they handled it: those that they reached
     * meanwhile, and the last one before of each rollout that had no verdict.
     */
    private static List<LogLine> withRolloutPhases(List<LogLine> found, List<LogLine> all) {
        long first = found.getFirst().millis();
        long last = found.getLast().millis();
        Set<String> hosts = found.stream().map(line -> field(line, "host")).collect(Collectors.toSet());
        Map<String, LogLine> formerPhases = new LinkedHashMap<>();
        List<LogLine> shown = new ArrayList<>(found);
        all.stream()
                .filter(line -> field(line, "event").equals("rollout_phase")
                        && hosts.contains(field(line, "host"))
                        && line.millis() <= last)
                .sorted(Comparator.comparingLong(LogLine::millis))
                .forEach(line -> {
                    if (line.millis() >= first) {
                        shown.add(line);
                    } else {
                        formerPhases.put(field(line, "host") + " " + field(line, "service"), line);
                    }
                });
        formerPhases.values().stream()
                .filter(line -> !VERDICTS.contains(field(line, "phase")))
                .forEach(shown::add);
        return shown.stream().sorted(Comparator.comparingLong(LogLine::millis)).toList();
    }

    private static String format(List<LogLine> lines, String request) {
        StringBuilder text = new StringBuilder();
        long first = lines.getFirst().millis();
        for (LogLine line : lines) {
            text.append(String.format(
                    "+%5d ms  %-20s %-16s%s%n",
                    line.millis() - first,
                    field(line, "host"),
                    field(line, "event"),
                    formatFields(line.object(), names(line, "request", request))));
        }
        return text.toString();
    }

    private static String field(LogLine line, String name) {
        return line.object().path(name).asText();
    }

    private static boolean names(LogLine line, String field, String request) {
        return line.object().path(field).asText().equals(request);
    }

    private static String formatFields(JsonNode object, boolean ofRequest) {
        StringBuilder text = new StringBuilder();
        object.properties().forEach(field -> {
            boolean isShownAlready = List.of("ms", "host", "event").contains(field.getKey())
                    || ofRequest && field.getKey().equals("request");
            if (!isShownAlready) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        return text.toString();
    }

    /** Returns the number of lines for each event and error kind, or an error message if a file is unreadable. */
    static Either<String, String> countEvents(List<Path> files) {
        return read(files).map(lines -> {
            Map<String, Integer> counts = new TreeMap<>();
            for (LogLine line : lines) {
                String kind = line.object().path("kind").asText();
                counts.merge(
                        line.object().path("event").asText() + (kind.isEmpty() ? "" : " " + kind), 1, Integer::sum);
            }
            StringBuilder text = new StringBuilder();
            counts.forEach((reason, count) -> text.append(String.format("%7d  %s%n", count, reason)));
            return text.toString();
        });
    }

    private static Either<String, List<LogLine>> read(List<Path> files) {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            try (Stream<String> text = Files.lines(file, StandardCharsets.UTF_8)) {
                text.forEach(line -> parse(line).ifPresent(lines::add));
            } catch (IOException | java.io.UncheckedIOException e) {
                return Either.left("cannot read " + file + ": " + e.getMessage());
            }
        }
        return Either.right(lines);
    }

    /** Parses the JSON object in a line. Log collectors may prefix the line with their own text, which is skipped. */
    private static Optional<LogLine> parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode object = JSON.readTree(line.substring(start));
            return object.path("event").isTextual()
                    ? Optional.of(new LogLine(object.path("ms").asLong(), object))
                    : Optional.empty();
        } catch (JsonProcessingException e) {
            // The line is truncated or was written by another program.
            return Optional.empty();
        }
    }
}
