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
    private final int problemsBefore;

    private FieldReader(JsonNode node, String path, List<String> problems) {
        this.node = node;
        this.path = path;
        this.problems = problems;
        this.problemsBefore = problems.size();
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
    String text(String name) {
        JsonNode value = node.path(name);
        if (!value.isTextual() || value.asText().isEmpty()) {
            problem(name, "must be a text");
        }
        return value.asText();
    }

    /** Returns a whole number that must be there and at least the given one. */
    long whole(String name, long least) {
        JsonNode value = node.path(name);
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < least) {
            problem(name, "must be a whole number of at least " + least);
        }
        return value.asLong();
    }

    /** Returns a whole number, or the default where the field is absent. */
    long whole(String name, long least, long absent) {
        return node.path(name).isMissingNode() || node.path(name).isNull() ? absent : whole(name, least);
    }

    /** Returns a number of at least 0, or the default where the field is absent. */
    double number(String name, double absent) {
        JsonNode value = node.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return absent;
        }
        if (!value.isNumber() || value.asDouble() < 0) {
            problem(name, "must be a number of at least 0");
        }
        return value.asDouble();
    }

    /** Returns a truth value, false where the field is absent. */
    boolean flag(String name) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
            problem(name, "must be true or false");
        }
        return value.asBoolean(false);
    }

    /** Returns the entries of a list; an absent list is empty. */
    Iterable<JsonNode> list(String name) {
        JsonNode value = node.path(name);
        if (!value.isMissingNode() && !value.isNull() && !value.isArray()) {
            problem(name, "must be a list");
        }
        return value;
    }

    void problem(String name, String allowed) {
        problems.add(path + name + " " + allowed + " but is " + node.path(name));
    }

    /** Returns the value if no problem was found. */
    <T> Either<Failure, T> result(T value, ErrorKind kind) {
        return build(kind, () -> value);
    }

    /** Returns what the supplier builds, which is not asked if a problem was found. */
    <T> Either<Failure, T> build(ErrorKind kind, Supplier<T> value) {
        return problems.isEmpty()
                ? Either.right(value.get())
                : Either.left(Failure.of(kind, String.join("; ", problems)));
    }

    /** Says whether no problem was found in this object so far, whatever was found in others. */
    boolean sound() {
        return problems.size() == problemsBefore;
    }
}
