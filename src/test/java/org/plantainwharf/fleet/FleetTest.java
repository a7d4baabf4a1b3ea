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
    private static final long IN_FORCE_MILLIS = 5_000;

    private static final long GRACEFUL_STOP_SECONDS = 30;

    /** More than the entries between two snapshots. */
    private static final int CHANGES = 300;

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

    private String otherThan(String... hosts) {
        List<String> excluded = List.of(hosts);
        return Fleet.HOSTS.stream()
                .filter(host -> !excluded.contains(host))
                .findFirst()
                .orElseThrow();
    }

    @Nested
    class Configuration {
        @Test
        void isInForceEverywhereWithinSecondsAndStaysAfterTheLeaderIsKilled() throws Exception {
            assertEquals(200, fleet.applySheet("b1", 2, 7).statusCode());
            long accepted = System.nanoTime();
            for (String host : Fleet.HOSTS) {
                fleet.awaitTrue("version 2 on " + host, () -> version(host) == 2);
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - accepted);
            assertTrue(millis <= IN_FORCE_MILLIS, "in force after " + millis + " ms");

            String leader = fleet.awaitLeader("b1", 0);
            fleet.kill(leader);
            String host = otherThan(leader);
            fleet.awaitTrue("a new leader", () -> fleet.applySheet(host, 3, 8).statusCode() == 200);
            assertEquals(409, fleet.applySheet(host, 3, 9).statusCode());
            assertEquals(409, fleet.applySheet(host, 2, 9).statusCode());
            fleet.startDaemon(leader);
            fleet.awaitTrue("version 3 on the restarted leader", () -> version(leader) == 3);
        }

        @Test
        void neverGoesBackOnAHostThatRestartsAfterHundredsOfChanges() throws Exception {
            for (int version = 2; version <= CHANGES; version++) {
                assertEquals(200, fleet.applySheet("a1", version, version).statusCode());
            }
            fleet.awaitTrue("the last version on b1", () -> version("b1") == CHANGES);
            fleet.kill("b1");
            fleet.startDaemon("b1");
            Set<Long> seen = new TreeSet<>();
            fleet.awaitTrue("the last version on b1 after its restart", () -> {
                seen.add(version("b1"));
                return seen.contains((long) CHANGES);
            });
            seen.remove(0L);
            assertEquals(Set.of((long) CHANGES), seen);
        }

        private long version(String host) {
            return fleet.status(host).path("configurationVersion").asLong();
        }
    }

    @Nested
    class Orders {
        @Test
        void runOnceWhenTheirHostIsKilledAndTheCallerResendsElsewhere() throws Exception {
            fleet.fault("service1", "{\"kind\":\"late\",\"millis\":1500}");
            ExecutorService callers = Executors.newCachedThreadPool();
            List<Future<Integer>> first = new ArrayList<>();
            for (int order = 0; order < 5; order++) {
                String key = "kill-" + order;
                first.add(
                        callers.submit(() -> fleet.order("d1", key, "{\"n\":1}").statusCode()));
            }
            TimeUnit.MILLISECONDS.sleep(700);
            fleet.kill("d1");
            callers.shutdown();
            callers.awaitTermination(60, TimeUnit.SECONDS);
            for (int order = 0; order < 5; order++) {
                String key = "kill-" + order;
                fleet.awaitTrue("a final answer for " + key, () -> {
                    HttpResponse<String> again = fleet.order("b1", key, "{\"n\":1}");
                    return again.statusCode() == 200 || again.body().contains("outcome_unknown");
                });
                assertTrue(fleet.runs(key) <= 1, key + " ran " + fleet.runs(key) + " times");
            }
        }

        @Test
        void runOnceWhenTheLeaderIsFrozenPastItsLease() throws Exception {
            String leader = fleet.awaitLeader("b1", 1);
            String host = otherThan(leader);
            fleet.signal(leader, "STOP");
            fleet.awaitTrue(
                    "orders under a new leader",
                    () -> fleet.order(host, "frozen", "{\"n\":2}").statusCode() == 200);
            fleet.signal(leader, "CONT");
            fleet.awaitTrue(
                    "the same answer from the frozen host",
                    () -> fleet.order(leader, "frozen", "{\"n\":2}").statusCode() == 200);
            assertEquals(1, fleet.runs("frozen"));
        }
    }

    @Nested
    class AcceptedWork {
        @Test
        void survivesAReclaimedZoneAndAHostLostRightAfterTheRepair() throws Exception {
            List<String> ids = new ArrayList<>();
            for (int work = 0; work < 6; work++) {
                HttpResponse<String> accepted = fleet.acceptWork("a1", 150);
                assertEquals(202, accepted.statusCode(), accepted.body());
                ids.add(Fleet.workId(accepted));
            }
            fleet.terminate("a1");
            fleet.terminate("a2");
            fleet.kill("a2");
            assertTrue(fleet.process("a1").waitFor(GRACEFUL_STOP_SECONDS, TimeUnit.SECONDS));
            fleet.startDaemon("a1");
            fleet.awaitTrue(
                    "a1 to be back", () -> !fleet.status("a1").path("behind").asBoolean());
            fleet.kill("d1");
            String host = otherThan("a1", "a2", "d1");
            for (String id : ids) {
                fleet.awaitTrue(
                        "the answer of " + id, () -> fleet.workResult(host, id).statusCode() == 200);
            }
        }
    }

    @Nested
    class PoisonRequests {
        @Test
        void areRefusedOnEveryHostAfterTwoCrashesAndOthersAreNot() throws Exception {
            for (String engine : List.of("engine1", "engine2")) {
                fleet.fault(engine, "{\"kind\":\"crash\",\"marker\":\"POISON\"}");
            }
            fleet.chat("a1", "POISON");
            fleet.awaitTrue(
                    "two crashed engines",
                    () -> !fleet.process("engine1").isAlive()
                            && !fleet.process("engine2").isAlive());
            fleet.startEngines();
            for (String host : List.of("b1", "c1")) {
                fleet.awaitTrue(
                        "a refusal on " + host,
                        () -> fleet.chat(host, "POISON").body().contains("request_quarantined"));
                fleet.awaitTrue(
                        "an answer on " + host,
                        () -> fleet.chat(host, "harmless").statusCode() == 200);
            }
        }
    }

    @Nested
    class PlannedStop {
        @Test
        void cutsOffNoStreamAndNoOrder() throws Exception {
            ExecutorService callers = Executors.newCachedThreadPool();
            List<Future<HttpResponse<String>>> streams = new ArrayList<>();
            for (int stream = 0; stream < 6; stream++) {
                streams.add(callers.submit(() -> fleet.stream("c1", 100)));
            }
            fleet.fault("service1", "{\"kind\":\"late\",\"millis\":1500}");
            Future<HttpResponse<String>> order = callers.submit(() -> fleet.order("c1", "stop", "{\"n\":3}"));
            TimeUnit.MILLISECONDS.sleep(500);
            fleet.terminate("c1");
            for (Future<HttpResponse<String>> stream : streams) {
                HttpResponse<String> answer = stream.get();
                assertEquals(200, answer.statusCode(), answer.body());
                assertTrue(answer.body().contains("[DONE]"), answer.body());
            }
            assertEquals(200, order.get().statusCode());
            assertTrue(fleet.process("c1").waitFor(GRACEFUL_STOP_SECONDS, TimeUnit.SECONDS));
            assertEquals(0, fleet.process("c1").exitValue());
            callers.shutdown();
        }
    }

    @Nested
    class CutOffHosts {
        @Test
        void refuseOrdersTruthfullyAndGoOnWithRepeatableCalls() throws Exception {
            fleet.kill("a1");
            fleet.kill("b1");
            fleet.awaitTrue(
                    "a refusal without a majority",
                    () -> fleet.order("c1", "cut", "{\"n\":4}").body().contains("no_quorum_not_run"));
            assertEquals(0, fleet.runs("cut"));
            assertEquals(200, fleet.stock("c1").statusCode());
            fleet.awaitTrue(
                    "c1 to say that it is behind",
                    () -> fleet.status("c1").path("behind").asBoolean());
        }
    }
}
