package org.plantainwharf.settings;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainwharf.error.ErrorKind;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against invalid settings that are accepted and valid ones that are read wrongly. Each row of a table replaces
 * one part of valid settings and gives the problem that must be reported.
 */
class SettingsReaderTest {
    private static final String VALID = """
            {"host": "a1", "zone": "a", "hostClass": "small",
             "callerAddress": "127.0.0.1:8001", "operatorAddress": "127.0.0.1:8002", "peerAddress": "127.0.0.1:8003",
             "dataFolder": "data",
             "hosts": [
              {"host": "a1", "zone": "a", "peerAddress": "127.0.0.1:8003", "voter": true},
              {"host": "b1", "zone": "b", "peerAddress": "127.0.0.1:8013", "voter": true},
              {"host": "c1", "zone": "c", "peerAddress": "[::1]:8023", "voter": true}],
             "recordGroups": 2,
             "timings": {"drainNoticeMillis": 100, "drainLimitMillis": 5000},
             "bounds": {"accountQueueCapacity": 7, "rankQueueCapacity": 70}}
            """;

    private static List<SettingsProblem> problemsOf(String text) {
        Either<SettingsProblems, Settings> result = SettingsReader.parse(text);
        assertTrue(result.isLeft(), () -> "accepted: " + text);
        return result.getLeft().problems();
    }

    private static String replaceFirst(String from, String to) {
        assertTrue(VALID.contains(from), from);
        return VALID.replaceFirst(java.util.regex.Pattern.quote(from), java.util.regex.Matcher.quoteReplacement(to));
    }

    @Nested
    class ValidSettings {
        @Test
        void keepEveryGivenValueAndFillInDefaults() {
            Settings settings = SettingsReader.parse(VALID).get();
            assertEquals("a1", settings.host().value());
            assertEquals("data", settings.dataFolder().orElseThrow());
            assertEquals(3, settings.hosts().size());
            assertEquals(2, settings.recordGroups());
            assertEquals(100, settings.timings().drainNoticeMillis());
            assertEquals(
                    Settings.Timings.defaults().serverLeaseMillis(),
                    settings.timings().serverLeaseMillis());
            assertEquals(7, settings.bounds().accountQueueCapacity());
            assertEquals(
                    Settings.Bounds.defaults().maximumBodyBytes(),
                    settings.bounds().maximumBodyBytes());
        }

        @Test
        void useAllDefaultsWhenOptionalKeysAreAbsent() {
            String text = VALID.substring(0, VALID.indexOf(",\n \"recordGroups\"")) + "}";
            Settings settings = SettingsReader.parse(text).get();
            assertEquals(Settings.Timings.defaults(), settings.timings());
            assertEquals(Settings.Bounds.defaults(), settings.bounds());
            assertEquals(1, settings.recordGroups());
        }

        @Test
        void mayLetTheOperatingSystemChoosePorts() {
            assertTrue(SettingsReader.parse(
                            VALID.replace("127.0.0.1:8001", "127.0.0.1:0").replace("127.0.0.1:8002", "127.0.0.1:0"))
                    .isRight());
        }
    }

    @Nested
    class InvalidSettings {
        /** Guards against a wrong key, type or value that is silently accepted or reported without its location. */
        @ParameterizedTest
        @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
                # from                   | to                             | path                      | value            | allowed contains
                "zone": "a", "hostC      | "zonne": 3, "zone": "a", "hostC| zonne                     | 3                | only the keys host, zone
                "host": "a1", "zone"     | "zone"                         | host                      | no such key      | letters, digits
                "host": "a1"             | "host": 17                     | host                      | 17               | letters, digits
                "host": "a1"             | "host": ""                     | host                      | ""               | letters, digits
                "host": "a1"             | "host": null                   | host                      | null             | letters, digits
                "hostClass": "small"     | "hostClass": "very small"      | hostClass                 | "very small"     | letters, digits
                "127.0.0.1:8001"         | "localhost:8001"               | callerAddress             | "localhost:8001" | a name is not allowed
                "127.0.0.1:8001"         | "127.0.0.1:65536"              | callerAddress             | "127.0.0.1:65536"| 0 to 65535
                "127.0.0.1:8001"         | "127.0.0.1"                    | callerAddress             | "127.0.0.1"      | an IP number and a port
                "127.0.0.1:8001"         | "256.0.0.1:1"                  | callerAddress             | "256.0.0.1:1"    | an IP number and a port
                "127.0.0.1:8001"         | "127.0.0.1:-1"                 | callerAddress             | "127.0.0.1:-1"   | 0 to 65535
                "[::1]:8023"             | "[1::2::3]:8023"               | hosts[2].peerAddress      | "[1::2::3]:8023" | valid IPv6
                "[::1]:8023"             | "127.0.0.1:0"                  | hosts[2].peerAddress      | "127.0.0.1:0"    | 1 to 65535
                "[::1]:8023"             | "127.0.0.1:8013"               | hosts[2].peerAddress      | "127.0.0.1:8013" | listed once
                "127.0.0.1:8002"         | "127.0.0.1:8001"               | operatorAddress           | "127.0.0.1:8001" | other than that of callerAddress
                "dataFolder": "data"     | "dataFolder": " "              | dataFolder                | " "              | path of a folder
                "dataFolder": "data",    |                                | dataFolder                | no such key      | this host is a voter
                "host": "c1"             | "host": "b1"                   | hosts[2].host             | "b1"             | listed once
                "host": "a1", "zone": "a", "hostC | "host": "x", "zone": "a", "hostC | host         | "x"              | listed in hosts
                "host": "a1", "zone": "a", "peer  | "host": "a1", "zone": "b", "peer | hosts[0].zone| "b"              | "a", the zone of this host
                "voter": true            | "voter": "yes"                 | hosts[0].voter            | "yes"            | true or false
                "voter": true            | "votes": true                  | hosts[0].votes            | true             | only the keys host, zone
                "recordGroups": 2        | "recordGroups": 0              | recordGroups              | 0                | 1 to 1024
                "recordGroups": 2        | "recordGroups": 1.5            | recordGroups              | 1.5              | a whole number
                "recordGroups": 2        | "recordGroups": "2"            | recordGroups              | "2"              | a whole number
                "drainNoticeMillis": 100 | "drainNoticeMillis": -1        | timings.drainNoticeMillis | -1               | 0 to 60000
                "drainNoticeMillis": 100 | "drainNoticeMillis": 5001      | timings.drainNoticeMillis | 5001             | at most timings.drainLimitMillis
                "drainNoticeMillis": 100 | "serverLeaseMillis": 5001      | timings.serverLeaseMillis | 5001             | 500 to 5000
                "drainNoticeMillis": 100 | "drainNotice": 100             | timings.drainNotice       | 100              | only the keys drainNoticeMillis
                "accountQueueCapacity": 7| "accountQueueCapacity": 71     | bounds.accountQueueCapacity| 71              | at most bounds.rankQueueCapacity
                "accountQueueCapacity": 7| "maximumBodyBytes": 99999999999| bounds.maximumBodyBytes   | 99999999999      | 1024 to 3145728
                "timings": {             | "timings": 3, "bounds": {      | (line                     | Duplicate        | each key once
                """)
        void areRejectedWithPathValueAndAllowedValues(
                String from, String to, String path, String value, String allowed) {
            List<SettingsProblem> problems = problemsOf(replaceFirst(from, to == null ? "" : to));
            assertEquals(1, problems.size(), problems::toString);
            SettingsProblem problem = problems.get(0);
            assertTrue(problem.path().equals(path)
                    || problem.path().startsWith("(") && problem.path().startsWith(path));
            assertTrue(problem.value().equals(value) || problem.value().startsWith("Duplicate"), problem::toString);
            assertTrue(problem.allowed().contains(allowed), problem::toString);
        }

        @Test
        void areReportedTogether() {
            String text = replaceFirst("\"host\": \"a1\"", "\"host\": 17, \"extra\": true")
                    .replace("127.0.0.1:8001", "localhost:1")
                    .replace("\"recordGroups\": 2", "\"recordGroups\": 5000");
            List<String> paths = problemsOf(text).stream()
                    .map(SettingsProblem::path)
                    .sorted()
                    .toList();
            assertEquals(List.of("callerAddress", "extra", "host", "recordGroups"), paths);
        }

        @ParameterizedTest
        @CsvSource(delimiter = '|', textBlock = """
                []
                {} trailing
                {"host": "a
                17
                """)
        void areRejectedWhenTheTextIsNotOneObject(String text) {
            assertTrue(!problemsOf(text).isEmpty());
        }

        @Test
        void areRejectedWhenTheTextIsEmpty() {
            assertTrue(!problemsOf("").isEmpty());
        }

        @Test
        void convertToOneSettingsInvalidFailure() {
            assertEquals(
                    ErrorKind.SETTINGS_INVALID,
                    SettingsReader.parse("[]").getLeft().toFailure().kind());
        }
    }

    @Nested
    class Voters {
        @Test
        void overThreeZonesNeedNoWarning() {
            assertEquals(
                    List.of(),
                    SettingsRules.warnings(SettingsReader.parse(VALID).get()));
        }

        @Test
        void inTooFewZonesAreReportedWithTheZone() {
            String text = VALID.replace("\"host\": \"c1\", \"zone\": \"c\"", "\"host\": \"c1\", \"zone\": \"b\"");
            List<String> warnings =
                    SettingsRules.warnings(SettingsReader.parse(text).get());
            assertEquals(1, warnings.size());
            assertTrue(warnings.get(0).contains("zone b leaves 1 of 3"), warnings::toString);
        }

        @Test
        void mustExist() {
            assertEquals(
                    "hosts",
                    problemsOf(VALID.replace("\"voter\": true", "\"voter\": false"))
                            .get(0)
                            .path());
        }
    }

    /** Guards against daemons of one system whose settings disagree about the voters. */
    @Nested
    class SeveralDaemons {
        private static final String SECOND = VALID.replace(
                "{\"host\": \"a1\", \"zone\": \"a\", \"hostClass\"",
                "{\"host\": \"b1\", \"zone\": \"b\", \"hostClass\"");

        private static List<String> conflicts(String first, String second) {
            Map<String, Settings> files = new LinkedHashMap<>();
            files.put("one", SettingsReader.parse(first).get());
            files.put("two", SettingsReader.parse(second).get());
            return SettingsRules.conflicts(files);
        }

        @Test
        void withTheSameHostsAgree() {
            assertEquals(List.of(), conflicts(VALID, SECOND));
        }

        @Test
        void withAnotherVoterConflict() {
            String other = SECOND.replace("8023\", \"voter\": true", "8023\", \"voter\": false");
            assertEquals(List.of("two: hosts differ from those in one"), conflicts(VALID, other));
        }

        @Test
        void withOtherRecordGroupsConflict() {
            String other = SECOND.replace("\"recordGroups\": 2", "\"recordGroups\": 3");
            assertEquals(List.of("two: recordGroups differs from that in one"), conflicts(VALID, other));
        }

        @Test
        void withTheSameHostConflict() {
            assertEquals(List.of("two: host a1 is also configured in one"), conflicts(VALID, VALID));
        }
    }

    @Nested
    class SettingsFile {
        @Test
        void thatIsMissingIsReportedWithItsName(@TempDir Path folder) {
            Path file = folder.resolve("absent.json");
            assertTrue(SettingsReader.read(file).getLeft().text().contains("absent.json"));
        }

        @Test
        void thatIsNotUtf8IsRejected(@TempDir Path folder) throws Exception {
            Path file = folder.resolve("latin.json");
            Files.write(file, VALID.replace("data", "dątą").getBytes(StandardCharsets.UTF_16));
            assertTrue(SettingsReader.read(file).isLeft());
        }

        @Test
        void thatIsValidIsRead(@TempDir Path folder) throws Exception {
            Path file = folder.resolve("valid.json");
            Files.writeString(file, VALID);
            assertTrue(SettingsReader.read(file).isRight());
        }
    }
}
