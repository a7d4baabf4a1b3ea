package org.plantainwharf.settings;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.path.NodePath;

/**
 * Converts errors of the schema validator into problems with key path, value and allowed values. The allowed values are
 * the {@code description} next to the violated keyword. Used by one thread.
 */
final class SchemaProblems {
    private static final int MAXIMUM_VALUE_CHARACTERS = 120;

    private final JsonNode schema;
    private final JsonNode root;
    private final List<SettingsProblem> problems = new ArrayList<>();

    private SchemaProblems(JsonNode schema, JsonNode root) {
        this.schema = schema;
        this.root = root;
    }

    /** Returns an empty collection for one settings file. */
    static SchemaProblems create(JsonNode schema, JsonNode root) {
        return new SchemaProblems(schema, root);
    }

    /** Adds an error. Violations of several keywords with one description at the same location are reported once. */
    void add(Error error) {
        JsonPointer location = pointer(error.getInstanceLocation());
        JsonNode parentSchema = parentSchema(error);
        SettingsProblem problem =
                switch (error.getKeyword()) {
                    case "additionalProperties" -> {
                        JsonPointer unknown = location.appendProperty(error.getProperty());
                        yield new SettingsProblem(path(unknown), value(unknown), "only the keys " + keys(parentSchema));
                    }
                    case "required" -> {
                        JsonPointer missing = location.appendProperty(error.getProperty());
                        yield new SettingsProblem(
                                path(missing), "no such key", description(property(parentSchema, error.getProperty())));
                    }
                    default -> new SettingsProblem(path(location), value(location), description(parentSchema));
                };
        if (!problems.contains(problem)) {
            problems.add(problem);
        }
    }

    /** Returns the problems in the order found. */
    List<SettingsProblem> list() {
        return List.copyOf(problems);
    }

    private JsonNode parentSchema(Error error) {
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

    private String value(JsonPointer location) {
        String text = root.at(location).toString();
        return text.length() <= MAXIMUM_VALUE_CHARACTERS ? text : text.substring(0, MAXIMUM_VALUE_CHARACTERS) + "...";
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
        for (JsonPointer remainder = pointer; !remainder.matches(); remainder = remainder.tail()) {
            if (remainder.mayMatchElement()) {
                text.append('[').append(remainder.getMatchingIndex()).append(']');
            } else {
                text.append(text.isEmpty() ? "" : ".").append(remainder.getMatchingProperty());
            }
        }
        return text.isEmpty() ? "(whole file)" : text.toString();
    }
}
