package org.plantainwharf.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.plantainwharf.sheet.SheetDigest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against subcommands that exit with status 0 after a failure or print to the wrong stream. */
class SubcommandRunnerTest {
    private static final String SHEET = "examples/klamerka/sheet.csv";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private ExitCode run(String input, String... arguments) {
        Console console = new Console(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8));
        return SubcommandRunner.run(console, arguments);
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return errors.toString(StandardCharsets.UTF_8);
    }

    @Nested
    class Checks {
        @Test
        void acceptTheExamples() {
            assertEquals(ExitCode.OK, run("", "sheet", "check", SHEET, "examples/kegelbond/sheet.csv"));
            assertEquals(ExitCode.OK, run("", "settings", "check", "examples/klamerka/settings/klamerka-a1.json"));
            assertEquals("", errors());
            assertEquals(3, output().lines().count());
        }

        @Test
        void failWhenOneOfSeveralFilesIsWrong() {
            assertEquals(ExitCode.FAILED, run("", "sheet", "check", "README.md", SHEET));
            assertTrue(errors().contains("README.md: row 1"), errors());
            assertTrue(output().contains(SHEET + ": ok, version 1"), output());
        }

        @Test
        void failForAMissingFile() {
            assertEquals(ExitCode.FAILED, run("", "sheet", "check", "absent.csv"));
            assertEquals(ExitCode.FAILED, run("", "settings", "check", "absent.json"));
            assertTrue(errors().contains("absent.csv") && errors().contains("absent.json"), errors());
        }

        @Test
        void warnAboutVotersThatCannotSurviveZoneLoss(@TempDir Path folder) throws Exception {
            Path file = folder.resolve("one.json");
            Files.writeString(file, """
                    {"host": "a", "zone": "z", "hostClass": "s", "callerAddress": "127.0.0.1:0",
                     "operatorAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0", "dataFolder": "d",
                     "hosts": [{"host": "a", "zone": "z", "peerAddress": "127.0.0.1:0", "voter": true}]}
                    """);
            assertEquals(ExitCode.OK, run("", "settings", "check", file.toString()));
            assertTrue(errors().contains("losing availability zone z leaves 0 of 1"), errors());
        }
    }

    @Nested
    class Usage {
        @Test
        void isPrintedToStandardErrorWithStatusTwo() {
            assertEquals(2, run("", "launch").status());
            assertEquals("", output());
            assertTrue(errors().contains("usage:"), errors());
        }

        @Test
        void isPrintedToStandardOutputOnRequest() {
            assertEquals(0, run("", "status", "--help").status());
            assertTrue(output().contains("--operator"), output());
        }
    }

    @Nested
    class Key {
        @Test
        void isPrintedAsSheetKeyDigest() {
            assertEquals(ExitCode.OK, run("floor-key\n", "sheet", "key"));
            assertEquals(SheetDigest.ofKey("floor-key"), output().strip());
        }

        @Test
        void mustNotBeEmptyOrPadded() {
            assertEquals(ExitCode.FAILED, run("", "sheet", "key"));
            assertEquals(ExitCode.FAILED, run(" floor-key\n", "sheet", "key"));
            assertFalse(errors().contains("floor-key"));
        }
    }

    @Nested
    class Difference {
        @Test
        void isShownRowByRow(@TempDir Path folder) throws Exception {
            Path changed = folder.resolve("changed.csv");
            Files.writeString(
                    changed,
                    Files.readString(Path.of(SHEET))
                            .replace("version;1", "version;2")
                            .replace("shop-floor;", "workshop;")
                            .replace("report;60 000;", "report;90 000;"));
            assertEquals(ExitCode.OK, run("", "sheet", "diff", SHEET, changed.toString()));
            assertEquals("version 1 -> 2", output().lines().findFirst().orElseThrow());
            assertTrue(output().contains("removed account shop-floor"), output());
            assertTrue(output().contains("added   account workshop"), output());
            assertTrue(output().contains("changed rank report: latency target ms 60000 -> 90000"), output());
        }
    }

    @Nested
    class ConfigChecks {
        private static final String CONFIG = """
                {"version": 7,
                 "routes": [{"name": "chat", "host": "a.example", "path_prefix": "/x/", "type": "safe",
                   "timeout_ms": 1000, "target_latency_ms": 100, "service": "desk"}],
                 "services": [{"name": "desk", "max_connections": 10}]}""";

        private static Path write(Path folder, String name, String content) throws Exception {
            return Files.writeString(folder.resolve(name), content);
        }

        @Test
        void acceptAValidFile(@TempDir Path folder) throws Exception {
            String file = write(folder, "config.json", CONFIG).toString();
            assertEquals(ExitCode.OK, run("", "config", "check", "--strict", file));
            assertTrue(output().contains("valid, version 7"), output());
            assertEquals("", errors());
        }

        @Test
        void printEveryErrorOnALineOfItsOwn(@TempDir Path folder) throws Exception {
            String file = write(
                            folder,
                            "config.json",
                            CONFIG.replace("\"timeout_ms\": 1000", "\"timeout_ms\": 0")
                                    .replace("\"service\": \"desk\"", "\"service\": \"other\""))
                    .toString();
            assertEquals(ExitCode.FAILED, run("", "config", "check", file));
            assertEquals(2, errors().lines().count(), errors());
            assertTrue(errors().contains("timeout_ms must be an integer of at least 1, got 0"), errors());
            assertTrue(errors().contains("which other is not"), errors());
        }

        @Test
        void failOnFindingsOnlyIfStrict(@TempDir Path folder) throws Exception {
            String file = write(
                            folder,
                            "config.json",
                            CONFIG.replace("\"target_latency_ms\": 100", "\"target_latency_ms\": 2000"))
                    .toString();
            assertEquals(ExitCode.OK, run("", "config", "check", file));
            assertTrue(errors().contains("contradiction: route chat"), errors());
            assertEquals(ExitCode.FAILED, run("", "config", "check", "--strict", file));
        }

        @Test
        void compareWithAFile(@TempDir Path folder) throws Exception {
            String before = write(folder, "before.json", CONFIG).toString();
            String after = write(
                            folder,
                            "after.json",
                            CONFIG.replace("\"version\": 7", "\"version\": 9").replace("/x/", "/y/"))
                    .toString();
            assertEquals(ExitCode.OK, run("", "config", "check", "--strict", "--against", before, after));
            assertTrue(output().contains("version 7 -> 9"), output());
            assertTrue(output().contains("changed route chat: prefix /x/ -> /y/"), output());
        }

        @Test
        void sayThatAnOlderVersionChangesNothing(@TempDir Path folder) throws Exception {
            String file = write(folder, "config.json", CONFIG).toString();
            assertEquals(ExitCode.FAILED, run("", "config", "check", "--strict", "--against", file, file));
            assertTrue(errors().contains("superseded"), errors());
        }
    }

    @Nested
    class Daemon {
        private final Server server = new Server();
        private final List<String> requests = new ArrayList<>();
        private int status = 200;
        private String answer = "";
        private String address = "";

        @BeforeEach
        void start() throws Exception {
            ServerConnector connector = new ServerConnector(server);
            connector.setHost("127.0.0.1");
            server.addConnector(connector);
            server.setHandler(new Handler.Abstract() {
                @Override
                public boolean handle(Request request, Response response, Callback callback) throws Exception {
                    String body = Content.Source.asString(request);
                    requests.add(request.getMethod() + " " + Request.getPathInContext(request) + " " + body.length());
                    response.setStatus(status);
                    response.write(true, StandardCharsets.UTF_8.encode(answer), callback);
                    return true;
                }
            });
            server.start();
            address = "127.0.0.1:" + connector.getLocalPort();
        }

        @AfterEach
        void stop() throws Exception {
            server.stop();
        }

        @Test
        void receivesSheetUnchanged() throws Exception {
            answer = "version 1 is accepted";
            assertEquals(ExitCode.OK, run("", "sheet", "apply", "--operator", address, SHEET));
            assertEquals("version 1 is accepted", output().strip());
            int characters = Files.readString(Path.of(SHEET)).length();
            assertEquals(List.of("POST /admin/sheet " + characters), requests);
        }

        @Test
        void receivesNoInvalidSheet() {
            assertEquals(ExitCode.FAILED, run("", "sheet", "apply", "--operator", address, "README.md"));
            assertEquals(List.of(), requests);
        }

        @Test
        void errorIsPrintedWithItsCode() {
            status = 409;
            answer = "{\"error\":{\"code\":\"sheet_version_conflict\",\"message\":\"version 1 is in force\"}}";
            assertEquals(ExitCode.FAILED, run("", "sheet", "apply", "--operator", address, SHEET));
            assertTrue(errors().contains("sheet_version_conflict: version 1 is in force"), errors());
            assertEquals("", output());
        }

        @Test
        void givesTheConfigInForceToAConfigCheck(@TempDir Path folder) throws Exception {
            answer = ConfigChecks.CONFIG;
            Path file = Files.writeString(
                    folder.resolve("config.json"), ConfigChecks.CONFIG.replace("\"version\": 7", "\"version\": 8"));
            assertEquals(ExitCode.OK, run("", "config", "check", "--operator", address, file.toString()));
            assertTrue(output().contains("version 7 -> 8: no changes in content"), output());
        }

        @Test
        void withoutAnAnswerFailsAConfigCheck(@TempDir Path folder) throws Exception {
            status = 503;
            answer = "{}";
            Path file = Files.writeString(folder.resolve("config.json"), ConfigChecks.CONFIG);
            assertEquals(ExitCode.FAILED, run("", "config", "check", "--operator", address, file.toString()));
            assertTrue(errors().contains("status 503"), errors());
        }

        @Test
        void isDrained() {
            answer = "drain started";
            assertEquals(ExitCode.OK, run("", "drain", "--operator", address));
            assertEquals(List.of("POST /admin/drain 0"), requests);
        }

        @Test
        void receivesAnOrderOfARollout() {
            answer = "{\"service\":\"s\",\"target\":\"v2\",\"number\":3}";
            assertEquals(ExitCode.OK, run("", orderOfARollout()));
            assertEquals("rollout 3 of s to version v2 is ordered", output().strip());
            int characters = "{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":1.5}".length();
            assertEquals(List.of("POST /Rollouts.Begin " + characters), requests);
        }

        private String[] orderOfARollout() {
            return new String[] {
                "rollout", "begin", "--operator", address, "--service", "s", "--target", "v2", "--duration", "1.5"
            };
        }

        @Test
        void thatRefusesAnOrderIsAFailureWithItsReason() {
            status = 409;
            answer = "{\"error\":\"a rollout of s to version v3 is in progress\"}";
            assertEquals(ExitCode.FAILED, run("", orderOfARollout()));
            assertTrue(errors().contains("status 409: a rollout of s to version v3 is in progress"), errors());
            assertEquals("", output());
        }

        @Test
        void showsARollout() {
            answer = "{\"state\":\"rolled_back\",\"target\":\"v2\"}";
            assertEquals(ExitCode.OK, run("", "rollout", "show", "--operator", address, "--service", "a b"));
            assertEquals("a b: rollout of version v2 was rolled back", output().strip());
            assertEquals(List.of("GET /Rollouts.Read/a%20b 0"), requests);
        }

        @Test
        void statusIsPrintedAsTables() {
            answer = """
                    {"host":"a1","zone":"a","phase":"serving","configurationVersion":7,"configurationDigest":"0f3a",
                     "behind":true,"liveCalls":3,
                     "hosts":[{"host":"a1","zone":"a","linked":true,"draining":false,"configurationVersion":7,"silentMillis":0},
                      {"host":"b1","zone":"b","linked":true,"draining":true,"configurationVersion":6,"silentMillis":120},
                      {"host":"c1","zone":"c","linked":false,"draining":false,"configurationVersion":0,"silentMillis":-1}],
                     "servers":[{"server":"engine-1","zone":"a","hostClass":"big","condition":"available","slots":8,"running":2,
                      "queued":1,"inFlight":1}],
                     "groups":[{"group":0,"leader":"b1","leading":false,"term":3,"commitIndex":9,"appliedIndex":9,"voting":true}],
                     "counters":{"errors.draining":4,"retries.connect_failed":2,"front.requests":9}}
                    """;
            assertEquals(ExitCode.OK, run("", "status", "--operator", address));
            String text = output().replaceAll(" +", " ");
            assertTrue(text.contains("Host a1 in zone a is serving with 3 live calls"), text);
            assertTrue(text.contains("configuration version 7") && text.contains("behind:"), text);
            assertTrue(text.contains("b1 b draining 6 (older than 7) 120 ms ago"), text);
            assertTrue(text.contains("c1 c not linked none never"), text);
            assertTrue(text.contains("engine-1 a big available 8 2 1 1"), text);
            assertTrue(text.contains("0 b1 3 9 9 votes"), text);
            assertTrue(text.contains("draining 4") && text.contains("connect_failed 2"), text);
            assertFalse(text.contains("front.requests"), text);
        }

        @Test
        void statusIsPrintedUnchangedWithJsonOption() {
            answer = "{\"host\": \"a1\"}";
            assertEquals(ExitCode.OK, run("", "status", "--json", "--operator", address));
            assertEquals(answer, output().strip());
        }

        @Test
        void sheetIsPrintedAsTables() {
            answer = """
                    {"version":7,"digest":"0f3a","accounts":[{"name":"floor","weight":1.5,"ranks":["order","stock"]}],
                     "routes":[]}
                    """;
            assertEquals(ExitCode.OK, run("", "sheet", "show", "--operator", address));
            assertTrue(output().contains("Sheet version 7, digest 0f3a"), output());
            assertTrue(output().replaceAll(" +", " ").contains("floor 1.5 order stock"), output());
        }

        private String inForce(String stockWorth) throws Exception {
            StringBuilder accounts = new StringBuilder();
            for (String row :
                    Files.readString(Path.of(SHEET)).split("\\[ranks]")[0].split("\r\n")) {
                String[] cells = row.split(";");
                if (cells.length == 5 && cells[1].length() == 64) {
                    accounts.append(accounts.isEmpty() ? "" : ",")
                            .append("{\"name\":\"" + cells[0] + "\",\"weight\":" + cells[2].replace(',', '.')
                                    + ",\"requests_per_second\":" + cells[3].replace(',', '.') + ",\"ranks\":[\""
                                    + cells[4].replace(" ", "\",\"") + "\"]}");
                }
            }
            return """
                    {"version":1,"digest":"0f3a","accounts":[%s],"ranks":[
                     {"name":"stock","latency_target_ms":400,"deadline_ms":2000,"worth":%s,"floor":0.35}],
                     "routes":[{"name":"stock-lookup","rank":"stock","repeatable":true}],
                     "budgets":[{"zone":"zone-a","host_class":"service-small","price_per_hour":0.045,
                      "maximum_per_hour":0.1,"reclaimable":true}]}
                    """.formatted(accounts, stockWorth);
        }

        @Test
        void isComparedWithASheetFile() throws Exception {
            answer = inForce("19.5");
            assertEquals(ExitCode.OK, run("", "sheet", "diff", "--operator", address, SHEET));
            assertTrue(output().contains("changed rank stock: worth 19.5 -> 20.0"), output());
            assertTrue(output().contains("added   rank order"), output());
            assertFalse(output().contains("account"), output());
            assertFalse(output().contains("stock-lookup"), output());
        }

        @Test
        void whoseAnswerIsNotJsonIsAFailure() {
            answer = "<html>";
            assertEquals(ExitCode.FAILED, run("", "status", "--operator", address));
        }

        @Test
        void thatCannotBeReachedIsAFailure() throws Exception {
            String closed;
            try (ServerSocket socket = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
                closed = "127.0.0.1:" + socket.getLocalPort();
            }
            assertEquals(ExitCode.FAILED, run("", "status", "--operator", closed));
            assertTrue(errors().contains("no answer from " + closed), errors());
        }

        @Test
        void withAWrongAddressIsAFailure() {
            assertEquals(ExitCode.FAILED, run("", "status", "--operator", "not an address"));
        }
    }
}
