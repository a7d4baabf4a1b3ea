package org.plantainwharf.log;

import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.RequestId;

/**
 * Logs each event as one line of the form {@code event=NAME name=value ...}. A value is quoted if it is empty or
 * contains whitespace, a quote, a backslash, an equals sign or a control character. Values of fields that may hold
 * secrets or bodies are replaced by {@code withheld}. Values longer than 600 characters are cut off. Thread-safe.
 */
public final class EventLog {
    private static final Set<String> WITHHELD_FIELDS =
            Set.of("authorization", "key", "account_key", "body", "prompt", "answer", "content");
    private static final int MAXIMUM_VALUE_CHARACTERS = 600;
    private static final int MAXIMUM_STACK_FRAMES = 5;

    private final FluentLogger logger;

    private EventLog(FluentLogger logger) {
        this.logger = logger;
    }

    /** Returns an event log that writes to a logger. */
    public static EventLog of(FluentLogger logger) {
        return new EventLog(logger);
    }

    /**
     * Logs an event.
     *
     * @param namesAndValues field names, each followed by its value
     */
    public void info(String event, Object... namesAndValues) {
        logger.atInfo().log("%s", format(event, namesAndValues));
    }

    /** Logs an event that an operator may have to investigate. */
    public void warning(String event, Object... namesAndValues) {
        logger.atWarning().log("%s", format(event, namesAndValues));
    }

    /**
     * Logs an event that prevents an operation from completing. The cause and its innermost stack frames are written as
     * the fields {@code cause} and {@code at}, so that the event stays on one line.
     */
    public void severe(String event, Throwable cause, Object... namesAndValues) {
        logger.atSevere().log("%s", format(event, namesAndValues) + formatCause(cause));
    }

    /** Logs that a request failed. */
    public void failure(String event, RequestId request, Failure failure) {
        info(
                event,
                "request",
                request,
                "kind",
                failure.kind().code(),
                "ran",
                failure.executionStatus(),
                "message",
                failure.message());
    }

    /**
     * Returns an event as one line.
     *
     * @throws IllegalArgumentException if a name has no value
     */
    static String format(String event, Object... namesAndValues) {
        if (namesAndValues.length % 2 != 0) {
            throw new IllegalArgumentException("namesAndValues must alternate names and values");
        }
        StringBuilder line = new StringBuilder("event=").append(formatValue(event));
        for (int index = 0; index < namesAndValues.length; index += 2) {
            String name = String.valueOf(namesAndValues[index]);
            boolean withheld = WITHHELD_FIELDS.contains(name.toLowerCase(Locale.ROOT));
            line.append(' ')
                    .append(name)
                    .append('=')
                    .append(withheld ? "withheld" : formatValue(String.valueOf(namesAndValues[index + 1])));
        }
        return line.toString();
    }

    private static String formatCause(Throwable cause) {
        String trace = Arrays.stream(cause.getStackTrace())
                .limit(MAXIMUM_STACK_FRAMES)
                .map(frame -> frame.getClassName() + "." + frame.getMethodName() + ":" + frame.getLineNumber())
                .collect(Collectors.joining(" < "));
        return " cause=" + formatValue(cause.toString()) + " at=" + formatValue(trace);
    }

    private static String formatValue(String text) {
        String bounded =
                text.length() <= MAXIMUM_VALUE_CHARACTERS ? text : text.substring(0, MAXIMUM_VALUE_CHARACTERS) + "...";
        boolean needsNoQuotes = !bounded.isEmpty()
                && bounded.chars()
                        .noneMatch(character -> character <= ' '
                                || character == '"'
                                || character == '='
                                || character == '\\'
                                || Character.isISOControl(character)
                                || Character.isWhitespace(character));
        if (needsNoQuotes) {
            return bounded;
        }
        StringBuilder quoted = new StringBuilder("\"");
        bounded.chars().forEach(character -> {
            switch (character) {
                case '"' -> quoted.append("\\\"");
                case '\\' -> quoted.append("\\\\");
                case '\n' -> quoted.append("\\n");
                case '\r' -> quoted.append("\\r");
                case '\t' -> quoted.append("\\t");
                default -> {
                    // Some viewers show U+2028 and U+2029 (line and paragraph separator) as line breaks.
                    if (Character.isISOControl(character) || character == 0x2028 || character == 0x2029) {
                        quoted.append(String.format("\\u%04x", character));
                    } else {
                        quoted.append((char) character);
                    }
                }
            }
        });
        return quoted.append('"').toString();
    }
}
