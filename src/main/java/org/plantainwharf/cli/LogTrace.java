package org.plantainwharf.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;

/** Reads the logs of several daemons and prints what happened to one request, or how often each reason came. Stateless. */
final class LogTrace {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LogTrace() {}

    /** A line with the time by which lines of several daemons are ordered. Immutable. */
    private record LogLine(long millis, JsonNode object) {}

    /** Returns the lines of one request in order of time, or a message. */
    static Either<String, String> traceRequest(List<Path> files, String request) {
        return read(files).flatMap(lines -> {
            List<LogLine> found = lines.stream()
                    .filter(line -> line.object().path("request").asText().equals(request))
                    .sorted(Comparator.comparingLong(LogLine::millis))
                    .toList();
            if (found.isEmpty()) {
                return Either.left("no line names request " + request);
            }
            StringBuilder text = new StringBuilder();
            long first = found.getFirst().millis();
            for (LogLine line : found) {
                text.append(String.format(
                        "+%5d ms  %-20s %-16s%s%n",
                        line.millis() - first,
                        line.object().path("host").asText(),
                        line.object().path("event").asText(),
                        formatFields(line.object())));
            }
            return Either.right(text.toString());
        });
    }

    private static String formatFields(JsonNode object) {
        StringBuilder text = new StringBuilder();
        object.properties().forEach(field -> {
            if (!List.of("ms", "host", "event", "request").contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        return text.toString();
    }

    /** Returns how many lines there are of each event and kind of error. */
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

    /** Finds the object in a line; what collects the logs may put its own text before it. */
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
            // A line of another program, or one that was cut off.
            return Optional.empty();
        }
    }
}
