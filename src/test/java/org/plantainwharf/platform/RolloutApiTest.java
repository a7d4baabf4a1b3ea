package org.plantainwharf.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongFunction;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.RolloutEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.log.LineLog;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.rollout.Rollout;
import org.plantainwharf.rollout.RolloutPhase;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against statuses of calls on rollouts that make an operator give up or go on wrongly, error bodies that do not say
 * what is wrong, and malformed orders that reach the control thread.
 */
class RolloutApiTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ORDER = "{\"service\":\"huvo11a\",\"target\":\"v2\",\"duration_s\":12}";

    private final ConcurrentLinkedQueue<Event> events = new ConcurrentLinkedQueue<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final MetricRegistry metrics = new MetricRegistry();
    private volatile boolean queueFull;
    private volatile LongFunction<RolloutEffect> answer =
            ticket -> new RolloutEffect.AcknowledgeOrder(ticket, rollout(new RolloutPhase.Observing()));
    private @Nullable LineLog log;
    private @Nullable ControlApi api;

    private static Rollout rollout(RolloutPhase phase) {
        return new Rollout(ServiceName.of("huvo11a"), 3, ServerVersion.of("v2"), 12_000, 1, phase);
    }

    /** Responds to each call as the control thread would. */
    private final class RespondingEventSink implements EventSink {
        @Override
        public boolean offer(Event event) {
            if (queueFull) {
                return false;
            }
            events.add(event);
            long ticket =
                    switch (event) {
                        case RolloutEvent.RolloutOrdered ordered -> ordered.ticket();
                        case RolloutEvent.RolloutRequested requested -> requested.ticket();
                        default -> throw new AssertionError("unexpected event " + event);
                    };
            startedApi().execute(answer.apply(ticket));
            return true;
        }

        @Override
        public void post(Event event) {
            offer(event);
        }
    }

    private ControlApi startedApi() {
        if (api instanceof ControlApi running) {
            return running;
        }
        throw new AssertionError("the control API is not started");
    }

    @BeforeEach
    void start() {
        LineLog lines = LineLog.start(Clock.system(), new PrintStream(OutputStream.nullOutputStream()), "core-1");
        log = lines;
        ControlApi created = ControlApi.create(
                Samples.settings("core-1"),
                DocumentReader.create(),
                new RespondingEventSink(),
                new Telemetry(metrics, lines));
        api = created;
        created.start();
    }

    @AfterEach
    void stop() throws InterruptedException {
        startedApi().stop();
        if (log instanceof LineLog lines) {
            lines.close();
        }
        client.close();
    }

    private HttpResponse<String> send(String method, String path, byte[] body)
            throws IOException, InterruptedException {
        return client.send(
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + startedApi().port() + path))
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> post(String body) throws IOException, InterruptedException {
        return send("POST", "/Rollouts.Begin", body.getBytes(StandardCharsets.UTF_8));
    }

    private HttpResponse<String> read(String service) throws IOException, InterruptedException {
        return send("GET", "/Rollouts.Read/" + service, new byte[0]);
    }

    private static String error(HttpResponse<String> response) throws IOException {
        assertEquals(
                "application/json",
                response.headers().firstValue("content-type").orElse(""));
        JsonNode body = JSON.readTree(response.body());
        assertEquals(1, body.size(), response.body());
        assertTrue(body.path("error").isTextual(), response.body());
        return body.path("error").textValue();
    }

    @Nested
    class Orders {
        @Test
        void arePassedOnAndAcknowledged() throws Exception {
            HttpResponse<String> response = post(ORDER);
            assertEquals(200, response.statusCode());
            assertEquals("{\"service\":\"huvo11a\",\"target\":\"v2\",\"number\":3}", response.body());
            assertEquals(
                    new RolloutEvent.RolloutOrdered(1, ServiceName.of("huvo11a"), ServerVersion.of("v2"), 12_000),
                    events.peek());
        }

        @Test
        void mayLastFractionsOfASecond() throws Exception {
            post(ORDER.replace("12", "2.5"));
            assertEquals(
                    new RolloutEvent.RolloutOrdered(1, ServiceName.of("huvo11a"), ServerVersion.of("v2"), 2_500),
                    events.peek());
        }

        /** An operator compares the answers to the same order. */
        @Test
        void getTheSameAnswerHoweverFarTheRolloutHasCome() throws Exception {
            String first = post(ORDER).body();
            answer = ticket ->
                    new RolloutEffect.AcknowledgeOrder(ticket, rollout(new RolloutPhase.RolledBack("failures")));
            assertEquals(first, post(ORDER).body());
        }

        @ParameterizedTest
        @CsvSource({
            "ROLLOUT_INVALID,400",
            "ROLLOUT_CONFLICT,409",
            "ROLLOUT_UNDECIDED,503",
            "ROLLOUT_SERVICE_UNCONFIRMED,503",
            "INTERNAL_ERROR,500"
        })
        void areRefusedWithTheStatusOfTheReason(ErrorKind kind, int status) throws Exception {
            Failure failure = Failure.of(kind, "one", "two");
            answer = ticket -> new RolloutEffect.RefuseRollout(ticket, failure);
            HttpResponse<String> response = post(ORDER);
            assertEquals(status, response.statusCode());
            assertEquals(failure.message(), error(response));
        }

        /** Another control daemon may have room. */
        @Test
        void get503WhenTheEventQueueIsFull() throws Exception {
            queueFull = true;
            HttpResponse<String> response = post(ORDER);
            assertEquals(503, response.statusCode());
            assertTrue(error(response).contains("queue is full"), response.body());
        }
    }

    @Nested
    class MalformedOrders {
        static Stream<Arguments> bodies() {
            return Stream.of(
                    Arguments.of("", "service must"),
                    Arguments.of("no json", "body must be one JSON object"),
                    Arguments.of("\u0000\u00ff", "body must be one JSON object"),
                    Arguments.of("[" + ORDER + "]", "not a JSON object"),
                    Arguments.of(ORDER + ORDER, "body must be one JSON object"),
                    Arguments.of("[".repeat(30_000), "body must be one JSON object"),
                    Arguments.of(ORDER.replace("\"huvo11a\"", "{\"name\":\"huvo11a\"}"), "service must"),
                    Arguments.of(
                            ORDER.replace("service", "Service"), "service must be a non-empty string, got nothing"),
                    Arguments.of(ORDER.replace("\"v2\"", "2"), "target must be a non-empty string, got 2"),
                    Arguments.of(ORDER.replace("v2", "v".repeat(50_000)), "target must have at most 80 characters"),
                    Arguments.of(
                            ORDER.replace("12", "0"), "duration_s must be a number above 0 and at most 86400, got 0"),
                    Arguments.of(ORDER.replace("12", "-3"), "got -3"),
                    Arguments.of(ORDER.replace("12", "1e400"), "duration_s must"),
                    Arguments.of(ORDER.replace("12", "9".repeat(900)), "duration_s must"),
                    Arguments.of(ORDER.replace("12", "9".repeat(9_000)), "body must be one JSON object"),
                    Arguments.of(ORDER.replace("12", "\"12\""), "duration_s must"),
                    Arguments.of(ORDER.replace("12", "null"), "duration_s must"));
        }

        @ParameterizedTest
        @MethodSource("bodies")
        void getOneClear400AndReachNobody(String body, String problem) throws Exception {
            HttpResponse<String> response = post(body);
            assertEquals(400, response.statusCode());
            assertTrue(error(response).contains(problem), response.body());
            assertTrue(response.body().length() < 2_000, "the body is sent back");
            assertTrue(events.isEmpty());
            assertEquals(1, metrics.counter("rollout.orders_invalid").getCount());
            assertEquals(1, metrics.counter("errors.rollout_invalid").getCount());
        }

        @Test
        void ofBytesThatAreNoTextGet400() throws Exception {
            HttpResponse<String> response =
                    send("POST", "/Rollouts.Begin", new byte[] {(byte) 0xff, (byte) 0xfe, 0, '{', (byte) 0x80});
            assertEquals(400, response.statusCode());
            assertTrue(error(response).contains("body must be one JSON object"), response.body());
        }

        @Test
        void areToldAllProblemsAtOnce() throws Exception {
            String error = error(post("{\"service\":\"\",\"target\":[],\"duration_s\":{}}"));
            assertTrue(error.contains("service must"), error);
            assertTrue(error.contains("target must"), error);
            assertTrue(error.contains("duration_s must"), error);
        }

        @Test
        void thatAreTooLargeGet413() throws Exception {
            HttpResponse<String> response = post(" ".repeat(70_000) + ORDER);
            assertEquals(413, response.statusCode());
            assertTrue(error(response).contains("65536"), response.body());
            assertTrue(events.isEmpty());
        }
    }

    @Nested
    class Reads {
        static Stream<Arguments> phases() {
            return Stream.of(
                    Arguments.of(new RolloutPhase.Observing(), "in_progress"),
                    Arguments.of(new RolloutPhase.Growing(250), "in_progress"),
                    Arguments.of(new RolloutPhase.Retiring(), "in_progress"),
                    Arguments.of(new RolloutPhase.Completed(), "completed"),
                    Arguments.of(new RolloutPhase.RolledBack("failures"), "rolled_back"));
        }

        @ParameterizedTest
        @MethodSource("phases")
        void returnTheStateAndTheTarget(RolloutPhase phase, String state) throws Exception {
            answer = ticket -> new RolloutEffect.ReturnRollout(ticket, rollout(phase));
            HttpResponse<String> response = read("huvo11a");
            assertEquals(200, response.statusCode());
            assertEquals("{\"state\":\"" + state + "\",\"target\":\"v2\"}", response.body());
            assertEquals(new RolloutEvent.RolloutRequested(1, ServiceName.of("huvo11a")), events.peek());
        }

        @ParameterizedTest
        @CsvSource({"a%20b,a b", "a%2Fb,a/b", "huvo%31%31a,huvo11a", "a%3Bb,a;b", "%C3%A4,\u00e4", "a+b,a+b", "a?x=1,a"
        })
        void decodeTheName(String encoded, String service) throws Exception {
            answer = ticket -> new RolloutEffect.ReturnRollout(ticket, rollout(new RolloutPhase.Completed()));
            assertEquals(200, read(encoded).statusCode());
            assertEquals(new RolloutEvent.RolloutRequested(1, ServiceName.of(service)), events.peek());
        }

        @ParameterizedTest
        @CsvSource({"''", "%20", "%ff"})
        void withoutANameGet400(String encoded) throws Exception {
            HttpResponse<String> response = read(encoded);
            assertEquals(400, response.statusCode());
            assertTrue(error(response).contains("service must be a name"), response.body());
            assertTrue(events.isEmpty());
        }

        @Test
        void ofAServiceWithoutARolloutGet404() throws Exception {
            answer = ticket ->
                    new RolloutEffect.RefuseRollout(ticket, Failure.of(ErrorKind.ROLLOUT_NOT_FOUND, "huvo11a"));
            HttpResponse<String> response = read("huvo11a");
            assertEquals(404, response.statusCode());
            assertEquals("no rollout of service huvo11a was ever begun", error(response));
        }

        @Test
        void withoutAMajorityGet503() throws Exception {
            answer = ticket -> new RolloutEffect.RefuseRollout(ticket, Failure.of(ErrorKind.NO_QUORUM));
            assertEquals(503, read("huvo11a").statusCode());
        }
    }

    @Nested
    class OtherCalls {
        @ParameterizedTest
        @CsvSource({
            "GET,/Rollouts.Begin,405",
            "PUT,/Rollouts.Begin,405",
            "POST,/Rollouts.Read/huvo11a,405",
            "DELETE,/Rollouts.Read/huvo11a,405",
            "GET,/Rollouts.Read,404",
            "POST,/Rollouts.End,404"
        })
        void areRefusedWithAReason(String method, String path, int status) throws Exception {
            HttpResponse<String> response = send(method, path, ORDER.getBytes(StandardCharsets.UTF_8));
            assertEquals(status, response.statusCode());
            assertTrue(!error(response).isEmpty());
            assertTrue(events.isEmpty());
        }
    }
}
