package org.plantainwharf.settings;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.path.NodePath;

/**
 * Turns errors of the schema validator into problems with key path, value and what is allowed. What is allowed comes
 * from the {@code description} beside the violated keyword. Used by one thread.
 */
final class SchemaProblems {
    private static final int LONGEST_VALUE = 120;

    private final JsonNode schema;
    private final JsonNode root;
    private final List<SettingsProblem> problems = new ArrayList<>();

    private SchemaProblems(JsonNode schema, JsonNode root) {
        this.schema = schema;
        this.root = root;
    }

    /** Returns an empty collection for one text. */
    static SchemaProblems create(JsonNode schema, JsonNode root) {
        return new SchemaProblems(schema, root);
    }

    /** Adds an error; one place that violates several keywords with the same description counts once. */
    void add(Error error) {
        JsonPointer place = pointer(error.getInstanceLocation());
        JsonNode violated = schemaBeside(error);
        SettingsProblem problem =
                switch (error.getKeyword()) {
                    case "additionalProperties" -> {
                        JsonPointer unknown = place.appendProperty(error.getProperty());
                        yield new SettingsProblem(path(unknown), value(unknown), "only the keys " + keys(violated));
                    }
                    case "required" -> {
                        JsonPointer missing = place.appendProperty(error.getProperty());
                        yield new SettingsProblem(
                                path(missing), "no such key", description(property(violated, error.getProperty())));
                    }
                    default -> new SettingsProblem(path(place), value(place), description(violated));
                };
        if (!problems.contains(problem)) {
            problems.add(problem);
        }
    }

    /** Returns the problems in the order found. */
    List<SettingsProblem> list() {
        return List.copyOf(problems);
    }

    private JsonNode schemaBeside(Error error) {
        return schema.at(pointer(error.getSchemaLocation().getFragment()).head());
    }

    private JsonNode property(JsonNode object, String name) {
        JsonNode property = object.path("properties").path(name);
        String reference = property.path("$ref").asText("");
        return reference.startsWith("#") ? schema.at(reference.substring(1)) : property;
    }

    private static String description(JsonNode node) {
        return node.path("description").asText("see the schema");
    }

    private static String keys(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.path("properties").fieldNames().forEachRemaining(names::add);
        return String.join(", ", names);
    }

    private String value(JsonPointer place) {
        String text = root.at(place).toString();
        return text.length() <= LONGEST_VALUE ? text : text.substring(0, LONGEST_VALUE) + "...";
    }

    private static JsonPointer pointer(NodePath path) {
        JsonPointer pointer = JsonPointer.empty();
        for (int index = 0; index < path.getNameCount(); index++) {
            Object element = path.getElement(index);
            pointer = element instanceof Integer number
                    ? pointer.appendIndex(number)
                    : pointer.appendProperty(String.valueOf(element));
        }
        return pointer;
    }

    private static String path(JsonPointer pointer) {
        StringBuilder text = new StringBuilder();
        for (JsonPointer rest = pointer; !rest.matches(); rest = rest.tail()) {
            if (rest.mayMatchElement()) {
                text.append('[').append(rest.getMatchingIndex()).append(']');
            } else {
                text.append(text.isEmpty() ? "" : ".").append(rest.getMatchingProperty());
            }
        }
        return text.isEmpty() ? "(whole file)" : text.toString();
    }
}
