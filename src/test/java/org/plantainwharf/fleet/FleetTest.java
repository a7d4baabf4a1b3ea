package org.plantainwharf.fleet;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the promises under signals to real processes. */
class FleetTest {
    /** Accepted configuration must be in force on every reachable host within this time. */
    private static final long CONFIGURATION_LIMIT_MILLIS = 5_000;

    private static final long GRACEFUL_STOP_LIMIT_SECONDS = 30;

    /** More than the entries between two snapshots. */
    private static final int SHEET_VERSIONS = 300;

    @TempDir
    @SuppressWarnings("NullAway.Init")
    private Path folder;

    @SuppressWarnings("NullAway.Init")
    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = Fleet.start(folder);
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    private String hostOtherThan(String... hosts) {
        List<String> excluded = List.of(hosts);
        return Fleet.HOSTS.stream()
                .filter(host -> !excluded.contains(host))
                .findFirst()
                .orElseThrow();
    }

    @Nested
    class Configuration {
        @Test
        void reachesEveryHostInTimeAndSurvivesALeaderCrash() throws Exception {
            assertEquals(200, fleet.applySheet("b1", 2, 7).statusCode());
            long accepted = System.nanoTime();
            for (String host : Fleet.HOSTS) {
                fleet.awaitCondition("version 2 on " + host, () -> configurationVersion(host) == 2);
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - accepted);
            assertTrue(millis <= CONFIGURATION_LIMIT_MILLIS, "in force after " + millis + " ms");

            String leader = fleet.awaitLeader("b1", 0);
            fleet.kill(leader);
            String host = hostOtherThan(leader);
            fleet.awaitCondition(
                    "a new leader", () -> fleet.applySheet(host, 3, 8).statusCode() == 200);
            assertEquals(409, fleet.applySheet(host, 3, 9).statusCode());
            assertEquals(409, fleet.applySheet(host, 2, 9).statusCode());
            fleet.startDaemon(leader);
            fleet.awaitCondition("version 3 on the restarted leader", () -> configurationVersion(leader) == 3);
        }

        @Test
        void doesNotRevertOnAHostThatRestartsAfterHundredsOfChanges() throws Exception {
            for (int version = 2; version <= SHEET_VERSIONS; version++) {
                assertEquals(200, fleet.applySheet("a1", version, version).statusCode());
            }
            fleet.awaitCondition("the last version on b1", () -> configurationVersion("b1") == SHEET_VERSIONS);
            fleet.kill("b1");
            fleet.startDaemon("b1");
            Set<Long> seen = new TreeSet<>();
            fleet.awaitCondition("the last version on b1 after its restart", () -> {
                seen.add(configurationVersion("b1"));
                return seen.contains((long) SHEET_VERSIONS);
            });
            seen.remove(0L);
            assertEquals(Set.of((long) SHEET_VERSIONS), seen);
        }

        private long configurationVersion(String host) {
            return fleet.status(host).path("configurationVersion").asLong();
        }
    }

    @Nested
    class Orders {
        @Test
        void runAtMostOnceWhenTheirHostCrashesAndTheCallerResendsElsewhere() throws Exception {
            fleet.injectFault("service1", "{\"kind\":\"late\",\"millis\":1500}");
            ExecutorService callers = Executors.newCachedThreadPool();
            List<Future<Integer>> first = new ArrayList<>();
            for (int order = 0; order < 5; order++) {
                String key = "kill-" + order;
                first.add(callers.submit(
                        () -> fleet.sendOrder("d1", key, "{\"n\":1}").statusCode()));
            }
            TimeUnit.MILLISECONDS.sleep(700);
            fleet.kill("d1");
            callers.shutdown();
            callers.awaitTermination(60, TimeUnit.SECONDS);
            for (int order = 0; order < 5; order++) {
                String key = "kill-" + order;
                fleet.awaitCondition("a final answer for " + key, () -> {
                    HttpResponse<String> again = fleet.sendOrder("b1", key, "{\"n\":1}");
                    return again.statusCode() == 200 || again.body().contains("outcome_unknown");
                });
                assertTrue(fleet.runCount(key) <= 1, key + " ran " + fleet.runCount(key) + " times");
            }
        }

        @Test
        void runOnceWhenTheLeaderIsFrozenPastItsLease() throws Exception {
            String leader = fleet.awaitLeader("b1", 1);
            String host = hostOtherThan(leader);
            fleet.sendSignal(leader, "STOP");
            fleet.awaitCondition(
                    "orders under a new leader",
                    () -> fleet.sendOrder(host, "frozen", "{\"n\":2}").statusCode() == 200);
            fleet.sendSignal(leader, "CONT");
            fleet.awaitCondition(
                    "the same answer from the frozen host",
                    () -> fleet.sendOrder(leader, "frozen", "{\"n\":2}").statusCode() == 200);
            assertEquals(1, fleet.runCount("frozen"));
        }
    }

    @Nested
    class AcceptedWork {
        @Test
        void survivesAReclaimedZoneAndAHostLostRightAfterTheRepair() throws Exception {
            List<String> ids = new ArrayList<>();
            for (int work = 0; work < 6; work++) {
                HttpResponse<String> accepted = fleet.submitWork("a1", 150);
                assertEquals(202, accepted.statusCode(), accepted.body());
                ids.add(Fleet.workId(accepted));
            }
            fleet.terminate("a1");
            fleet.terminate("a2");
            fleet.kill("a2");
            assertTrue(fleet.process("a1").waitFor(GRACEFUL_STOP_LIMIT_SECONDS, TimeUnit.SECONDS));
            fleet.startDaemon("a1");
            fleet.awaitCondition(
                    "a1 to be back", () -> !fleet.status("a1").path("behind").asBoolean());
            fleet.kill("d1");
            String host = hostOtherThan("a1", "a2", "d1");
            for (String id : ids) {
                fleet.awaitCondition(
                        "the answer of " + id,
                        () -> fleet.fetchWorkResult(host, id).statusCode() == 200);
            }
        }
    }

    @Nested
    class PoisonRequests {
        @Test
        void areQuarantinedOnEveryHostAfterTwoCrashesWhileOthersAreAnswered() throws Exception {
            for (String engine : List.of("engine1", "engine2")) {
                fleet.injectFault(engine, "{\"kind\":\"crash\",\"marker\":\"POISON\"}");
            }
            fleet.sendUrgentChat("a1", "POISON");
            fleet.awaitCondition(
                    "two crashed engines",
                    () -> !fleet.process("engine1").isAlive()
                            && !fleet.process("engine2").isAlive());
            fleet.startEngines();
            for (String host : List.of("b1", "c1")) {
                fleet.awaitCondition(
                        "a refusal on " + host,
                        () -> fleet.sendUrgentChat(host, "POISON").body().contains("request_quarantined"));
                fleet.awaitCondition(
                        "an answer on " + host,
                        () -> fleet.sendUrgentChat(host, "harmless").statusCode() == 200);
            }
        }
    }

    @Nested
    class GracefulStop {
        @Test
        void completesRunningStreamsAndOrders() throws Exception {
            ExecutorService callers = Executors.newCachedThreadPool();
            List<Future<HttpResponse<String>>> streams = new ArrayList<>();
            for (int stream = 0; stream < 6; stream++) {
                streams.add(callers.submit(() -> fleet.streamCompletion("c1", 100)));
            }
            fleet.injectFault("service1", "{\"kind\":\"late\",\"millis\":1500}");
            Future<HttpResponse<String>> order = callers.submit(() -> fleet.sendOrder("c1", "stop", "{\"n\":3}"));
            TimeUnit.MILLISECONDS.sleep(500);
            fleet.terminate("c1");
            for (Future<HttpResponse<String>> stream : streams) {
                HttpResponse<String> answer = stream.get();
                assertEquals(200, answer.statusCode(), answer.body());
                assertTrue(answer.body().contains("[DONE]"), answer.body());
            }
            assertEquals(200, order.get().statusCode());
            assertTrue(fleet.process("c1").waitFor(GRACEFUL_STOP_LIMIT_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, fleet.process("c1").exitValue());
            callers.shutdown();
        }
    }

    @Nested
    class HostsWithoutMajority {
        @Test
        void refuseOrdersAsNotRunAndServeRepeatableCalls() throws Exception {
            fleet.kill("a1");
            fleet.kill("b1");
            fleet.awaitCondition(
                    "a refusal without a majority",
                    () -> fleet.sendOrder("c1", "cut", "{\"n\":4}").body().contains("no_quorum_not_run"));
            assertEquals(0, fleet.runCount("cut"));
            assertEquals(200, fleet.callStockService("c1").statusCode());
            fleet.awaitCondition(
                    "c1 to say that it is behind",
                    () -> fleet.status("c1").path("behind").asBoolean());
        }
    }
}
