package org.plantainwharf.difference;

import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Compares the rows of two versions of a configuration by name. Stateless; thread-safe. */
public final class RowComparison {
    private RowComparison() {}

    /** Returns the rows in the order of their names; of rows with the same name the last one. */
    public static <T> Map<String, T> rowsByName(Iterable<T> values, Function<? super T, String> name) {
        Map<String, T> rows = new TreeMap<>();
        values.forEach(value -> rows.put(name.apply(value), value));
        return rows;
    }

    /**
     * Adds the changes between two sets of rows, in the order of their names.
     *
     * @param prefix type of the rows, put before their names
     * @param fields returns the text of each field of a row, in a fixed order
     */
    public static <T> void compare(
            String prefix,
            Map<String, T> before,
            Map<String, T> after,
            Function<? super T, Map<String, String>> fields,
            List<RowChange> changes) {
        SortedSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            T oldRow = before.get(name);
            T newRow = after.get(name);
            if (oldRow == null && newRow != null) {
                changes.add(new RowChange.Added(prefix + name, formatFields(fields.apply(newRow))));
            } else if (oldRow != null && newRow == null) {
                changes.add(new RowChange.Removed(prefix + name, formatFields(fields.apply(oldRow))));
            } else if (oldRow != null && newRow != null) {
                Map<String, String> newFields = fields.apply(newRow);
                fields.apply(oldRow).forEach((field, oldValue) -> {
                    String newValue = newFields.getOrDefault(field, "");
                    if (!oldValue.equals(newValue)) {
                        changes.add(new RowChange.Changed(prefix + name, field, oldValue, newValue));
                    }
                });
            }
        }
    }

    private static String formatFields(Map<String, String> fields) {
        return fields.entrySet().stream()
                .map(field -> field.getKey() + " " + field.getValue())
                .collect(Collectors.joining(", "));
    }
}
