package org.plantainwharf.settings;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import io.vavr.control.Either;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;

/**
 * Reads the settings of one daemon from JSON. The text is validated against the JSON schema in the resources, then
 * against rules that relate several keys; the rules are checked only if the schema is satisfied. Thread-safe.
 */
public final class SettingsReader {
    private static final String SCHEMA_RESOURCE = "settings.schema.json";
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final JsonNode SCHEMA_JSON = readSchema();
    private static final Schema SCHEMA = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(SCHEMA_JSON);

    private SettingsReader() {}

    /** Reads a file in UTF-8. Reports a file that cannot be read as a problem. */
    public static Either<SettingsProblems, Settings> read(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (CharacterCodingException e) {
            return Either.left(SettingsProblems.of("(file)", file.toString(), "a file in UTF-8"));
        } catch (IOException e) {
            return Either.left(SettingsProblems.of("(file)", file.toString(), "a readable file"));
        }
    }

    /** Reads JSON text. Reports every violation of the schema or, if there is none, every violation of the rules. */
    public static Either<SettingsProblems, Settings> parse(String text) {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            String location = e.getLocation() == null
                    ? "(text)"
                    : "(line " + e.getLocation().getLineNr() + ", column "
                            + e.getLocation().getColumnNr() + ")";
            return Either.left(SettingsProblems.of(location, e.getOriginalMessage(), "one JSON object, each key once"));
        }
        SchemaProblems schemaProblems = SchemaProblems.create(SCHEMA_JSON, root);
        SCHEMA.validate(root).forEach(schemaProblems::add);
        if (!schemaProblems.list().isEmpty()) {
            return Either.left(new SettingsProblems(schemaProblems.list()));
        }
        Settings settings = readSettings(root);
        List<SettingsProblem> problems = SettingsRules.problems(settings);
        return problems.isEmpty() ? Either.right(settings) : Either.left(new SettingsProblems(problems));
    }

    private static Settings readSettings(JsonNode root) {
        return new Settings(
                HostId.of(root.path("host").asText()),
                AvailabilityZone.of(root.path("zone").asText()),
                HostClass.of(root.path("hostClass").asText()),
                root.path("callerAddress").asText(),
                root.path("operatorAddress").asText(),
                root.path("peerAddress").asText(),
                Optional.ofNullable(root.get("dataFolder")).map(JsonNode::asText),
                readHosts(root.path("hosts")),
                root.path("recordGroups").asInt(1),
                readTimings(root.path("timings")),
                readBounds(root.path("bounds")));
    }

    private static List<Settings.HostEntry> readHosts(JsonNode node) {
        List<Settings.HostEntry> hosts = new ArrayList<>();
        for (JsonNode host : node) {
            hosts.add(new Settings.HostEntry(
                    HostId.of(host.path("host").asText()),
                    AvailabilityZone.of(host.path("zone").asText()),
                    host.path("peerAddress").asText(),
                    host.path("voter").asBoolean(false)));
        }
        return hosts;
    }

    private static Settings.Timings readTimings(JsonNode node) {
        Settings.Timings defaults = Settings.Timings.defaults();
        return new Settings.Timings(
                node.path("drainNoticeMillis").asLong(defaults.drainNoticeMillis()),
                node.path("drainLimitMillis").asLong(defaults.drainLimitMillis()),
                node.path("serverLeaseMillis").asLong(defaults.serverLeaseMillis()),
                node.path("linkSilenceMillis").asLong(defaults.linkSilenceMillis()),
                node.path("urgentSilenceMillis").asLong(defaults.urgentSilenceMillis()),
                node.path("longSilenceMillis").asLong(defaults.longSilenceMillis()));
    }

    private static Settings.Bounds readBounds(JsonNode node) {
        Settings.Bounds defaults = Settings.Bounds.defaults();
        return new Settings.Bounds(
                node.path("maximumBodyBytes").asInt(defaults.maximumBodyBytes()),
                node.path("maximumHeaderBytes").asInt(defaults.maximumHeaderBytes()),
                node.path("maximumAnswerBytes").asInt(defaults.maximumAnswerBytes()),
                node.path("eventQueueCapacity").asInt(defaults.eventQueueCapacity()),
                node.path("accountQueueCapacity").asInt(defaults.accountQueueCapacity()),
                node.path("rankQueueCapacity").asInt(defaults.rankQueueCapacity()),
                node.path("snapshotEntries").asInt(defaults.snapshotEntries()));
    }

    private static JsonNode readSchema() {
        try (InputStream stream = SettingsReader.class.getResourceAsStream(SCHEMA_RESOURCE)) {
            if (stream == null) {
                throw new IllegalStateException("resource " + SCHEMA_RESOURCE + " is missing");
            }
            return MAPPER.readTree(stream);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
