package org.plantainwharf.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.front.Fixture;
import org.plantainwharf.front.OperatorFrontend;
import org.plantainwharf.front.RecordingEventSink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against stand-ins that deviate from the behaviour that the system tests rely on: announcements, order of
 * priorities, resumed answers, faults, cache events and counts of executions.
 */
class StandInTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient http = HttpClient.newHttpClient();

    @AfterEach
    void close() {
        http.close();
    }

    private CompletableFuture<HttpResponse<String>> post(String address, String path, String body, String... headers) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).POST(BodyPublishers.ofString(body));
        request.headers("X-Request-Id", "a", "X-Attempt", "1");
        if (headers.length > 0) {
            request.headers(headers);
        }
        return http.sendAsync(request.build(), BodyHandlers.ofString());
    }

    private JsonNode get(String address, String path) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).build();
        return JSON.readTree(http.send(request, BodyHandlers.ofString()).body());
    }

    private static String chat(String text) {
        return "{\"model\":\"small\",\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"" + text + "\"}]}";
    }

    @Nested
    class Announcements {
        private final RecordingEventSink events = RecordingEventSink.create();
        private final OperatorFrontend operators = OperatorFrontend.create(
                Fixture.settings(),
                () -> Fixture.view(new DrainPhase.Serving()),
                () -> "{}",
                csv -> Either.left(Failure.of(ErrorKind.SHEET_INVALID, "")),
                events,
                new MetricRegistry());

        private ServerEvent.ServerAnnounced answerNext(long token) {
            ServerEvent.ServerAnnounced event = events.next(ServerEvent.ServerAnnounced.class);
            operators.execute(new ServerEffect.AnswerAnnouncement(event.ticket(), token));
            return event;
        }

        @Test
        void tryNextAddressEchoTokenAndReportLeaving() throws Exception {
            operators.start();
            String address = "127.0.0.1:" + operators.port();
            StandInEngine engine = StandInEngine.start(() -> {}, "--operators", "127.0.0.1:1," + address);
            try {
                assertEquals(0, answerNext(41).echoedToken());
                ServerEvent.ServerAnnounced second = answerNext(42);
                assertEquals(41, second.echoedToken());
                assertEquals(2, second.announcement().sequence());
                CompletableFuture<Void> left = CompletableFuture.runAsync(engine::stopGracefully);
                ServerEvent.ServerAnnounced next = answerNext(43);
                while (!next.announcement().leaving()) {
                    next = answerNext(44);
                }
                left.get(10, TimeUnit.SECONDS);
            } finally {
                operators.stop();
            }
        }
    }

    @Nested
    class Engines {
        @Test
        void runHigherPrioritiesFirstWhenSlotsAreFull() throws Exception {
            try (StandInEngine engine = StandInEngine.start(() -> {}, "--slots", "1", "--token-millis", "40")) {
                List<String> order = new java.util.concurrent.CopyOnWriteArrayList<>();
                CompletableFuture<HttpResponse<String>> first = post(
                        engine.address(), "/v1/chat/completions", chat("first").replace("2", "20"));
                awaitLoad(engine, 1, 0);
                CompletableFuture<?> low = post(
                                engine.address(), "/v1/chat/completions", chat("low"), "X-Priority", "1")
                        .thenRun(() -> order.add("low"));
                awaitLoad(engine, 1, 1);
                CompletableFuture<?> high = post(
                                engine.address(), "/v1/chat/completions", chat("high"), "X-Priority", "9")
                        .thenRun(() -> order.add("high"));
                CompletableFuture.allOf(first, low, high).get(20, TimeUnit.SECONDS);
                assertEquals(List.of("high", "low"), order);
            }
        }

        private void awaitLoad(StandInEngine engine, int running, int queued) throws Exception {
            JsonNode load = get(engine.address(), "/v1/load");
            while (load.path("running").asInt() != running
                    || load.path("queued").asInt() != queued) {
                load = get(engine.address(), "/v1/load");
            }
        }

        @Test
        void resumeAfterTokensAlreadyReceived() throws Exception {
            try (StandInEngine engine = StandInEngine.start(() -> {}, "--token-millis", "0")) {
                String body = post(engine.address(), "/v1/chat/completions", chat("x"), "X-Resume-Tokens", "1")
                        .get()
                        .body();
                assertFalse(body.contains("t0 "), body);
                assertTrue(body.contains("t1 "), body);
            }
        }

        @Test
        void haltOnlyOnMarkedRequests() throws Exception {
            CountDownLatch halted = new CountDownLatch(1);
            try (StandInEngine engine = StandInEngine.start(halted::countDown, "--token-millis", "0")) {
                post(engine.address(), "/fault", "{\"kind\":\"crash\",\"marker\":\"POISON\"}")
                        .get();
                assertEquals(
                        200,
                        post(engine.address(), "/v1/chat/completions", chat("fine"))
                                .get()
                                .statusCode());
                assertEquals(1, halted.getCount());
                post(engine.address(), "/v1/chat/completions", chat("POISON"));
                assertTrue(halted.await(10, TimeUnit.SECONDS));
            }
        }

        @Test
        void transferCacheByOpaqueHandle() throws Exception {
            try (StandInEngine first = StandInEngine.start(() -> {});
                    StandInEngine second = StandInEngine.start(() -> {})) {
                String prompt = chat("x".repeat(600));
                String handle = JSON.readTree(post(first.address(), "/v1/kv/export", prompt)
                                .get()
                                .body())
                        .path("handle")
                        .asText();
                post(second.address(), "/v1/kv/import", "{\"handle\":\"" + handle + "\"}")
                        .get();
                assertEquals(
                        2,
                        get(second.address(), "/v1/cache-events?after=0")
                                .path("stored")
                                .size());
            }
        }

        @Test
        void rejectUnknownFaults() throws Exception {
            try (StandInEngine engine = StandInEngine.start(() -> {})) {
                assertEquals(
                        400,
                        post(engine.address(), "/fault", "{\"kind\":\"odd\"}")
                                .get()
                                .statusCode());
            }
        }
    }

    @Nested
    class CacheEvents {
        private final AtomicLong millis = new AtomicLong(1_000);

        @Test
        void arePublishedAfterDelay() {
            EngineCache cache = EngineCache.create(10, 50, 0, millis::get);
            cache.store(List.of(1L, 2L));
            millis.set(1_049);
            cache.store(List.of(3L));
            assertEquals(1, cache.events(0, 7).path("stored").size() - 2);
            millis.set(1_099);
            assertEquals(2, cache.events(1, 7).path("last").asLong());
            millis.set(1_060);
            assertEquals(1, cache.events(1, 7).path("last").asLong());
        }

        @Test
        void showDroppedEventsAsSequenceGaps() {
            EngineCache cache = EngineCache.create(10, 0, 2, millis::get);
            cache.store(List.of(1L));
            cache.store(List.of(2L));
            cache.store(List.of(3L));
            assertEquals(3, cache.events(1, 7).path("first").asLong());
            assertEquals(3, cache.events(0, 7).path("stored").size());
        }

        @Test
        void listEvictedBlocks() {
            EngineCache cache = EngineCache.create(2, 0, 0, millis::get);
            cache.store(List.of(1L, 2L));
            cache.store(List.of(3L));
            JsonNode events = cache.events(1, 7);
            assertEquals(1, events.path("evicted").path(0).asLong());
            assertEquals(2, cache.cachedPrefixLength(List.of(2L, 3L, 4L)));
        }
    }

    @Nested
    class Services {
        @Test
        void countRunsOfEachIdempotencyKey() throws Exception {
            try (StandInService service = StandInService.start(() -> {})) {
                post(service.address(), "/call/order", "x", "Idempotency-Key", "k1")
                        .get();
                post(service.address(), "/call/order", "x", "Idempotency-Key", "k1")
                        .get();
                post(service.address(), "/call/order", "x", "Idempotency-Key", "k2")
                        .get();
                assertEquals(
                        "{\"k1\":2,\"k2\":1}", get(service.address(), "/runs").toString());
            }
        }
    }
}
