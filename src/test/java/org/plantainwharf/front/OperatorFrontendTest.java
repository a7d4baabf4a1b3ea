package org.plantainwharf.front;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.effect.OperatorEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.SheetDigest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against answers that reach the wrong operator, invalid announcements, notices or sheets that are accepted, and
 * metrics that Prometheus cannot parse. Requests are sent over real connections.
 */
class OperatorFrontendTest {
    private static final String ANNOUNCEMENT = "{'server':'s1','incarnation':7,'sequence':3,'address':'127.0.0.1:80',"
            + "'zone':'z','hostClass':'c','kind':'model-engine','models':['m'],'checksFencing':true,"
            + "'movesCache':false,'slots':4,'load':{'running':1,'queued':2,'ageMillis':3},'leaving':false,'token':9}";

    private final RecordingEventSink events = RecordingEventSink.create();
    private final MetricRegistry metrics = new MetricRegistry();
    private final OperatorFrontend front = OperatorFrontend.create(
            Fixture.settings(),
            () -> Fixture.view(new DrainPhase.Serving()),
            () -> "{\"state\":\"serving\"}",
            OperatorFrontendTest::parse,
            events,
            metrics);
    private final HttpClient http = HttpClient.newHttpClient();

    private static Either<Failure, Sheet> parse(byte[] csv) {
        return new String(csv, StandardCharsets.UTF_8).startsWith("good")
                ? Either.right(Fixture.sheet())
                : Either.left(Failure.of(ErrorKind.SHEET_INVALID, "row 1"));
    }

    @BeforeEach
    void start() {
        front.start();
    }

    @AfterEach
    void stop() {
        front.stop();
        http.close();
    }

    private CompletableFuture<HttpResponse<String>> send(String method, String path, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + front.port() + path))
                .timeout(Duration.ofSeconds(20))
                .method(method, BodyPublishers.ofString(body.replace('\'', '"')))
                .build();
        return http.sendAsync(request, BodyHandlers.ofString());
    }

    @Nested
    class Announcements {
        @Test
        void reachTheControlThreadCompletelyAndReturnTheToken() throws Exception {
            CompletableFuture<HttpResponse<String>> answer = send("POST", "/servers/announce", ANNOUNCEMENT);
            ServerEvent.ServerAnnounced event = events.next(ServerEvent.ServerAnnounced.class);
            assertEquals(9, event.echoedToken());
            assertEquals(7, event.announcement().incarnation());
            assertEquals(
                    new ServerKind.ModelEngine(java.util.Set.of(ModelName.of("m")), true, false),
                    event.announcement().kind());
            front.execute(new ServerEffect.AnswerAnnouncement(event.ticket(), 42));
            assertEquals("{\"token\":42}", answer.get().body());
        }

        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                quoteCharacter = '~',
                value = {
                    "'server':'s1' | 'server':''",
                    "'server':'s1' | 'server':5",
                    "'incarnation':7 | 'incarnation':'7'",
                    "'incarnation':7 | 'incarnation':-1",
                    "'sequence':3 | 'sequence':3.5",
                    "127.0.0.1:80 | localhost:80",
                    "127.0.0.1:80 | 127.0.0.1",
                    "model-engine | engine",
                    "'models':['m'] | 'models':[1]",
                    "'slots':4 | 'slots':99999999999",
                    "'running':1 | 'running':'many'"
                })
        void withAnInvalidFieldAreRefusedAndPostNoEvent(String good, String bad) throws Exception {
            HttpResponse<String> answer = send("POST", "/servers/announce", ANNOUNCEMENT.replace(good, bad))
                    .get();
            assertEquals(400, answer.statusCode(), answer.body());
            assertTrue(answer.body().contains("request_invalid"), answer.body());
            assertTrue(events.isEmpty());
        }

        @Test
        void thatAreNotJsonAreRefused() throws Exception {
            assertTrue(send("POST", "/servers/announce", "{").get().body().contains("malformed_json"));
            assertTrue(send("POST", "/platform/notice", "no").get().body().contains("malformed_json"));
        }

        @Test
        void areRefusedWith503WhenTheQueueIsFull() throws Exception {
            events.setFull(true);
            assertEquals(
                    503, send("POST", "/servers/announce", ANNOUNCEMENT).get().statusCode());
        }

        @Test
        void withoutAnAnswerFailAfterTheTimeout() throws Exception {
            HttpResponse<String> answer =
                    send("POST", "/servers/announce", ANNOUNCEMENT).get();
            assertEquals(503, answer.statusCode());
            assertTrue(answer.body().contains("\"ran\":\"unknown\""), answer.body());
        }
    }

    @Nested
    class Operators {
        @Test
        void getTheAnswerToTheirOwnSheet() throws Exception {
            CompletableFuture<HttpResponse<String>> first = send("POST", "/admin/sheet", "good 1");
            long firstTicket = events.next(OperatorEvent.SheetSubmitted.class).ticket();
            CompletableFuture<HttpResponse<String>> second = send("POST", "/admin/sheet", "good 2");
            long secondTicket = events.next(OperatorEvent.SheetSubmitted.class).ticket();
            front.execute(new OperatorEffect.AnswerOperator(
                    secondTicket, Either.left(Failure.of(ErrorKind.SHEET_VERSION_CONFLICT, 1, "d"))));
            front.execute(new OperatorEffect.AnswerOperator(firstTicket, Either.right("accepted 1")));
            assertEquals("accepted 1\n", first.get().body());
            assertEquals(409, second.get().statusCode());
        }

        @Test
        void getTheErrorsOfAnInvalidSheetWhichIsNotSubmitted() throws Exception {
            assertEquals(422, send("POST", "/admin/sheet", "bad").get().statusCode());
            assertTrue(events.isEmpty());
        }

        @Test
        void seeTheSheetWithoutAccountKeys() throws Exception {
            String body = send("GET", "/admin/sheet", "").get().body();
            assertTrue(body.contains("\"mill\""), body);
            assertFalse(body.contains(SheetDigest.ofKey("mill-key")), body);
        }

        @Test
        void readTheStatusAndRequestADrain() throws Exception {
            assertEquals(
                    "{\"state\":\"serving\"}",
                    send("GET", "/admin/status", "").get().body());
            CompletableFuture<HttpResponse<String>> drain = send("POST", "/admin/drain", "");
            long ticket = events.next(OperatorEvent.DrainRequested.class).ticket();
            front.execute(new OperatorEffect.AnswerOperator(ticket, Either.right("draining")));
            assertEquals(200, drain.get().statusCode());
        }

        @Test
        void getAnErrorForAWrongPathOrMethod() throws Exception {
            assertEquals(404, send("GET", "/admin/none", "").get().statusCode());
            assertEquals(405, send("GET", "/admin/drain", "").get().statusCode());
            assertEquals(405, send("POST", "/admin/status", "").get().statusCode());
            assertTrue(events.isEmpty());
        }
    }

    @Nested
    class PlatformNotices {
        @Test
        void nameAServerOrAHost() throws Exception {
            send("POST", "/platform/notice", "{'server':'s1','noticeMillis':5000}")
                    .get();
            assertEquals(
                    5_000, events.next(PlatformEvent.ServerReclaimNoticed.class).noticeMillis());
            send("POST", "/platform/notice", "{'host':'h1','noticeMillis':1}").get();
            assertEquals(
                    HostId.of("h1"),
                    events.next(PlatformEvent.HostReclaimNoticed.class).host());
        }

        @Test
        void withoutServerOrHostAreRefused() throws Exception {
            assertEquals(
                    400,
                    send("POST", "/platform/notice", "{'noticeMillis':1}").get().statusCode());
        }
    }

    @Nested
    class Metrics {
        @Test
        void areInThePrometheusTextFormat() throws Exception {
            metrics.counter("errors.draining").inc(3);
            metrics.meter("calls.rate").mark(2);
            metrics.register("queue.size", (Gauge<Integer>) () -> 7);
            metrics.register("queue.share", (Gauge<Double>) () -> 0.25);
            metrics.register("odd.gauge", (Gauge<String>) () -> "text");
            metrics.register("none.gauge", (Gauge<Double>) () -> Double.NaN);
            metrics.histogram("sizes").update(5);
            metrics.timer("calls.took").update(500, TimeUnit.MILLISECONDS);
            HttpResponse<String> answer = send("GET", "/admin/metrics", "").get();
            assertEquals(
                    PrometheusText.MEDIA_TYPE,
                    answer.headers().firstValue("Content-Type").orElse(""));
            assertEquals("""
                    # HELP plantainwharf_calls_rate_total calls.rate
                    # TYPE plantainwharf_calls_rate_total counter
                    plantainwharf_calls_rate_total 2
                    # HELP plantainwharf_calls_took_seconds calls.took
                    # TYPE plantainwharf_calls_took_seconds summary
                    plantainwharf_calls_took_seconds{quantile="0.5"} 0.5
                    plantainwharf_calls_took_seconds{quantile="0.95"} 0.5
                    plantainwharf_calls_took_seconds{quantile="0.99"} 0.5
                    plantainwharf_calls_took_seconds_sum 0.5
                    plantainwharf_calls_took_seconds_count 1
                    # HELP plantainwharf_errors_draining_total errors.draining
                    # TYPE plantainwharf_errors_draining_total counter
                    plantainwharf_errors_draining_total 3
                    # HELP plantainwharf_none_gauge none.gauge
                    # TYPE plantainwharf_none_gauge gauge
                    plantainwharf_none_gauge NaN
                    # HELP plantainwharf_queue_share queue.share
                    # TYPE plantainwharf_queue_share gauge
                    plantainwharf_queue_share 0.25
                    # HELP plantainwharf_queue_size queue.size
                    # TYPE plantainwharf_queue_size gauge
                    plantainwharf_queue_size 7
                    # HELP plantainwharf_sizes sizes
                    # TYPE plantainwharf_sizes summary
                    plantainwharf_sizes{quantile="0.5"} 5
                    plantainwharf_sizes{quantile="0.95"} 5
                    plantainwharf_sizes{quantile="0.99"} 5
                    plantainwharf_sizes_sum 5
                    plantainwharf_sizes_count 1
                    """, answer.body());
        }

        @Test
        void withUnsupportedCharactersInTheirNamesStayParseable() {
            metrics.counter("odd name\\with\nbreak").inc();
            metrics.counter("odd name/with\nbreak").inc();
            assertEquals("""
                    # HELP plantainwharf_odd_name_with_break_total odd name/with\\nbreak
                    # TYPE plantainwharf_odd_name_with_break_total counter
                    plantainwharf_odd_name_with_break_total 1
                    """, PrometheusText.format(metrics));
        }

        @Test
        void writeSpecialValuesAsTheFormatNamesThem() {
            assertEquals("+Inf", PrometheusText.formatNumber(Double.POSITIVE_INFINITY));
            assertEquals("-Inf", PrometheusText.formatNumber(Double.NEGATIVE_INFINITY));
            assertEquals("NaN", PrometheusText.formatNumber(Double.NaN));
            assertEquals("123456789012", PrometheusText.formatNumber(123_456_789_012.0));
        }
    }
}
