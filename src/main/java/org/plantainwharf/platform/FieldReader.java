package org.plantainwharf.platform;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/**
 * Reads fields of a JSON object and collects every problem in them. A method that reads a field returns a value even
 * after a problem, so that reading continues and all problems are reported together. Used by one thread.
 */
final class FieldReader {
    private static final Pattern ADDRESS =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final int PORT_GROUP = 5;
    private static final int MAXIMUM_OCTET = 255;
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_QUOTED_CHARACTERS = 200;

    private final JsonNode node;
    private final String path;
    private final List<String> problems;
    private final int initialProblemCount;

    private FieldReader(JsonNode node, String path, List<String> problems) {
        this.node = node;
        this.path = path;
        this.problems = problems;
        this.initialProblemCount = problems.size();
    }

    static FieldReader of(JsonNode node) {
        FieldReader reader = new FieldReader(node, "", new ArrayList<>());
        if (!node.isObject()) {
            reader.problems.add("not a JSON object");
        }
        return reader;
    }

    /** Returns a reader of a nested object, whose problems are added to the same list. */
    FieldReader nested(JsonNode child, String name) {
        FieldReader reader = new FieldReader(child, path + name + ".", problems);
        if (!child.isObject()) {
            reader.problems.add(path + name + " must be an object");
        }
        return reader;
    }

    /** Returns a required string, which must not be empty. */
    String string(String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            addProblem(name, "must be a non-empty string");
        }
        return value.asText();
    }

    /** Returns a required IPv4 address with a port from 1 to 65535, separated by a colon. */
    String address(String name) {
        String value = string(name);
        checkAddress(name, value);
        return value;
    }

    /** Returns an address as {@link #address}, or empty if the field is absent, null or an empty string. */
    Optional<String> optionalAddress(String name) {
        JsonNode value = node.path(name);
        if (value.isMissingNode()
                || value.isNull()
                || value.isTextual() && value.asText().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(address(name));
    }

    /** Adds a problem unless the text is an IPv4 address with a port. */
    void checkAddress(String name, String text) {
        Matcher matcher = ADDRESS.matcher(text);
        boolean valid = matcher.matches();
        for (int group = 1; valid && group <= matcher.groupCount(); group++) {
            int number = Integer.parseInt(matcher.group(group));
            valid = group < PORT_GROUP ? number <= MAXIMUM_OCTET : number > 0 && number <= MAXIMUM_PORT;
        }
        if (!valid) {
            addProblem(name, "must be an IPv4 address and a port");
        }
    }

    /** Returns a required integer, which must be at least the minimum and fit into a long. */
    long integer(String name, long minimum) {
        return integerInRange(name, minimum, Long.MAX_VALUE);
    }

    /** Returns a required integer within bounds, both included. */
    private long integerInRange(String name, long minimum, long maximum) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || value.bigIntegerValue().compareTo(BigInteger.valueOf(minimum)) < 0) {
            addProblem(name, "must be an integer of at least " + minimum);
        } else if (value.bigIntegerValue().compareTo(BigInteger.valueOf(maximum)) > 0) {
            addProblem(name, "must be an integer of at most " + maximum);
        }
        return value.asLong();
    }

    /** Returns an integer of at least the minimum, or the default if the field is absent or null. */
    long integer(String name, long minimum, long defaultValue) {
        return isAbsent(name) ? defaultValue : integer(name, minimum);
    }

    /** Returns an integer from 0 to the maximum, or 0 if the field is absent or null. */
    int optionalInteger(String name, int maximum) {
        return isAbsent(name) ? 0 : (int) integerInRange(name, 0, maximum);
    }

    /** Returns an integer, or nothing if the field is absent or null. */
    OptionalLong optionalInteger(String name) {
        return isAbsent(name)
                ? OptionalLong.empty()
                : OptionalLong.of(integerInRange(name, Long.MIN_VALUE, Long.MAX_VALUE));
    }

    private boolean isAbsent(String name) {
        return node.path(name).isMissingNode() || node.path(name).isNull();
    }

    /** Returns a number of at least 0, or the default if the field is absent or null. */
    double number(String name, double defaultValue) {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        if (!value.isNumber() || !Double.isFinite(value.asDouble()) || value.asDouble() < 0) {
            addProblem(name, "must be a number of at least 0");
        }
        return value.asDouble();
    }

    /** Returns a boolean, which is false if the field is absent or null. */
    boolean bool(String name) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
            addProblem(name, "must be true or false");
        }
        return value.asBoolean(false);
    }

    /** Returns the elements of an array; none if the field is absent or null. */
    Iterable<JsonNode> array(String name) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isNull() && !value.isArray()) {
            addProblem(name, "must be an array");
        }
        return value;
    }

    /** Adds a problem of a field: what is required of it and its present value. */
    void addProblem(String name, String requirement) {
        String value =
                node.path(name).isMissingNode() ? "nothing" : node.path(name).toString();
        problems.add(path + name + " " + requirement + ", got " + abbreviate(value));
    }

    /** Returns the beginning of a value for an error message, so that no body is sent back whole. */
    static String abbreviate(String value) {
        return value.length() <= MAXIMUM_QUOTED_CHARACTERS
                ? value
                : value.substring(0, MAXIMUM_QUOTED_CHARACTERS) + "...";
    }

    /** Returns the value, or a failure with every problem found in the whole document. */
    <T> Either<Failure, T> result(T value, ErrorKind kind) {
        return build(kind, () -> value);
    }

    /** Returns what the supplier builds, or a failure with every problem; the supplier is called only if there is none. */
    <T> Either<Failure, T> build(ErrorKind kind, Supplier<T> supplier) {
        return problems.isEmpty()
                ? Either.right(supplier.get())
                : Either.left(Failure.of(kind, String.join("; ", problems)));
    }

    /** Says whether no problem was found in this object so far, wherever else problems were found before. */
    boolean isValid() {
        return problems.size() == initialProblemCount;
    }
}
