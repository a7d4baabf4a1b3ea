package org.plantainwharf.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/** Reads fields of a JSON object and gathers what is wrong with them. Used by one thread. */
final class FieldReader {
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
            reader.problems.add("not an object");
        }
        return reader;
    }

    /** Returns a reader of a nested object that adds to the same problems. */
    FieldReader nested(JsonNode child, String name) {
        FieldReader reader = new FieldReader(child, path + name + ".", problems);
        if (!child.isObject()) {
            reader.problems.add(path + name + " must be an object");
        }
        return reader;
    }

    /** Returns a text that must be there and not empty. */
    String string(String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            addProblem(name, "must be a text");
        }
        return value.asText();
    }

    /** Returns a whole number that must be there and at least the given one. */
    long integer(String name, long minimum) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < minimum) {
            addProblem(name, "must be a whole number of at least " + minimum);
        }
        return value.asLong();
    }

    /** Returns a whole number, or the default where the field is absent. */
    long integer(String name, long minimum, long defaultValue) {
        return node.path(name).isMissingNode() || node.path(name).isNull() ? defaultValue : integer(name, minimum);
    }

    /** Returns a number of at least 0, or the default where the field is absent. */
    double number(String name, double defaultValue) {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < 0) {
            addProblem(name, "must be a number of at least 0");
        }
        return value.asDouble();
    }

    /** Returns a truth value, false where the field is absent. */
    boolean bool(String name) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
            addProblem(name, "must be true or false");
        }
        return value.asBoolean(false);
    }

    /** Returns the entries of a list; an absent list is empty. */
    Iterable<JsonNode> array(String name) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isNull() && !value.isArray()) {
            addProblem(name, "must be a list");
        }
        return value;
    }

    void addProblem(String name, String requirement) {
        problems.add(path + name + " " + requirement + " but is " + node.path(name));
    }

    /** Returns the value if no problem was found. */
    <T> Either<Failure, T> result(T value, ErrorKind kind) {
        return build(kind, () -> value);
    }

    /** Returns what the supplier builds, which is not asked if a problem was found. */
    <T> Either<Failure, T> build(ErrorKind kind, Supplier<T> supplier) {
        return problems.isEmpty()
                ? Either.right(supplier.get())
                : Either.left(Failure.of(kind, String.join("; ", problems)));
    }

    /** Says whether no problem was found in this object so far, whatever was found in others. */
    boolean isValid() {
        return problems.size() == initialProblemCount;
    }
}
