package org.plantainwharf.examples;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.settings.SettingsReader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against documentation for callers and operators that differs from the code. */
class DocumentationTest {
    @Nested
    class CallersPage {
        @Test
        void containsTheCompleteErrorTable() throws IOException {
            List<String> expected = Arrays.stream(ErrorKind.values())
                    .map(kind -> "| `" + kind.code() + "` | " + kind.httpStatus() + " | "
                            + kind.executionStatus().name().toLowerCase(Locale.ROOT) + " | "
                            + (kind.retryable() ? "yes" : "no")
                            + " | " + kind.messageTemplate() + " |")
                    .toList();
            List<String> found = Files.readAllLines(Path.of("docs/CALLERS.md")).stream()
                    .filter(line -> line.startsWith("| `"))
                    .toList();
            assertEquals(expected, found);
        }
    }

    @Nested
    class OperatorsPage {
        private static final Pattern ROW = Pattern.compile("\\| `([A-Za-z.]+)` \\| (yes|no|for voters) \\|.*\\|");

        private Map<String, String> documentedRows() throws IOException {
            Map<String, String> rows = new TreeMap<>();
            for (String line : Files.readAllLines(Path.of("docs/OPERATORS.md"))) {
                Matcher matcher = ROW.matcher(line);
                if (matcher.matches()) {
                    rows.put(matcher.group(1), line);
                }
            }
            return rows;
        }

        private Map<String, String> allowedValuesBySchemaKey() throws IOException {
            JsonNode schema =
                    new JsonMapper().readTree(SettingsReader.class.getResourceAsStream("settings.schema.json"));
            Map<String, String> allowed = new TreeMap<>();
            collectAllowedValues("", schema, allowed);
            return allowed;
        }

        private static void collectAllowedValues(String prefix, JsonNode schema, Map<String, String> allowed) {
            schema.path("properties").fields().forEachRemaining(property -> {
                if (property.getValue().has("properties")) {
                    collectAllowedValues(prefix + property.getKey() + ".", property.getValue(), allowed);
                } else {
                    allowed.put(
                            prefix + property.getKey(),
                            property.getValue().path("description").asText());
                }
            });
        }

        @Test
        void listsEveryKeyOfTheSettings() throws IOException {
            assertEquals(allowedValuesBySchemaKey().keySet(), documentedRows().keySet());
        }

        @Test
        void statesTheAllowedRanges() throws IOException {
            Map<String, String> rows = documentedRows();
            allowedValuesBySchemaKey().forEach((key, description) -> {
                Matcher range =
                        Pattern.compile("a whole number from (\\d+ to \\d+)").matcher(description);
                if (range.matches()) {
                    assertTrue(rows.getOrDefault(key, "").contains("| " + range.group(1)), key);
                }
            });
        }

        @Test
        void statesTheDefaults() throws Exception {
            Map<String, String> rows = documentedRows();
            for (Record defaults : List.of(Settings.Timings.defaults(), Settings.Bounds.defaults())) {
                String prefix = defaults.getClass().getSimpleName().toLowerCase(Locale.ROOT) + ".";
                for (var component : defaults.getClass().getRecordComponents()) {
                    Object value = component.getAccessor().invoke(defaults);
                    String row = rows.getOrDefault(prefix + component.getName(), "");
                    assertTrue(row.endsWith("| " + value + " |"), () -> component + " " + value + ": " + row);
                }
            }
        }
    }

    @Nested
    class GlossaryPage {
        /** Guards against glossary entries that name classes which were renamed or never written. */
        @Test
        void namesOnlyExistingClasses() throws IOException {
            List<String> missing = Pattern.compile("`([a-z]+)\\.([A-Z][A-Za-z]+)[A-Za-z.]*`")
                    .matcher(Files.readString(Path.of("docs/GLOSSARY.md")))
                    .results()
                    .filter(match -> !Files.exists(
                            Path.of("src/main/java/org/plantainwharf", match.group(1), match.group(2) + ".java")))
                    .map(match -> match.group())
                    .collect(Collectors.toList());
            assertEquals(List.of(), missing);
        }
    }
}
