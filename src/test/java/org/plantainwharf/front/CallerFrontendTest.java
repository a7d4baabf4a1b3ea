package org.plantainwharf.front;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.backend.ResponseSink;
import org.plantainwharf.board.BoardView;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.control.Clock;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.CallEvent;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against invalid requests that reach the control thread or affect other calls, errors that differ from the
 * error table, incomplete answers that look complete, and undetected disconnects. Requests are sent over real
 * connections.
 */
class CallerFrontendTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CHAT = "/v1/chat/completions";
    private static final String GOOD_CHAT =
            "{\"model\":\"small\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

    private final RecordingEventSink events = RecordingEventSink.create();
    private final MetricRegistry metrics = new MetricRegistry();
    private volatile BoardView view = Fixture.view(new DrainPhase.Serving());
    private final CallerFrontend front =
            CallerFrontend.create(Fixture.settings(), Clock.system(), () -> view, events, metrics);
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @BeforeEach
    void start() {
        front.start();
    }

    @AfterEach
    void stop() {
        front.stop();
        http.close();
    }

    private HttpRequest.Builder request(String method, String path, String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + front.port() + path))
                .timeout(Duration.ofSeconds(10))
                .method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
    }

    private HttpRequest.Builder chat(String body) {
        return request("POST", CHAT, body).header("Authorization", "Bearer mill-key");
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return http.sendAsync(request.build(), BodyHandlers.ofString());
    }

    private static JsonNode json(HttpResponse<String> response) throws IOException {
        return JSON.readTree(response.body());
    }

    private void assertFailure(ErrorKind kind, HttpResponse<String> response) throws IOException {
        JsonNode error = json(response).path("error");
        assertEquals(kind.httpStatus(), response.statusCode(), response.body());
        assertEquals(kind.code(), error.path("code").asText());
        assertEquals(kind.retryable(), error.path("retry").asBoolean());
        assertEquals(
                kind.executionStatus().name().toLowerCase(java.util.Locale.ROOT),
                error.path("ran").asText());
        assertEquals(
                error.path("ran").asText(),
                response.headers().firstValue("X-Ran").orElse(""));
        assertEquals(
                error.path("request_id").asText(),
                response.headers().firstValue("X-Request-Id").orElse(""));
        assertFalse(error.path("message").asText().isBlank());
    }

    /** Returns a client with an open HTTP/2 connection, since a request with a body cannot upgrade a connection. */
    private HttpClient http2() throws Exception {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        HttpResponse<String> health = client.send(request("GET", "/health", "").build(), BodyHandlers.ofString());
        assertEquals(HttpClient.Version.HTTP_2, health.version());
        return client;
    }

    /** An invalid request and the row of the error table with which it must be answered. */
    record BadInput(
            String name, ErrorKind expected, String method, String path, Map<String, String> headers, String body) {
        static BadInput chat(String name, ErrorKind expected, String body) {
            return new BadInput(name, expected, "POST", CHAT, Map.of("Authorization", "Bearer mill-key"), body);
        }

        static BadInput of(String name, ErrorKind expected, String call, String... headers) {
            Map<String, String> map = new java.util.HashMap<>(Map.of("Authorization", "Bearer mill-key"));
            for (int index = 0; index < headers.length; index += 2) {
                map.put(headers[index], headers[index + 1]);
            }
            String[] parts = call.split(" ");
            return new BadInput(name, expected, parts[0], parts[1], map, parts[0].equals("POST") ? GOOD_CHAT : "");
        }

        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<BadInput> badInputs() {
        String message = "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]";
        return Stream.of(
                BadInput.chat("truncated JSON", ErrorKind.MALFORMED_JSON, "{\"model\":"),
                BadInput.chat("text after JSON", ErrorKind.MALFORMED_JSON, GOOD_CHAT + " x"),
                BadInput.chat("deeply nested JSON", ErrorKind.MALFORMED_JSON, "[".repeat(3_000)),
                BadInput.chat("JSON array", ErrorKind.REQUEST_INVALID, "[]"),
                BadInput.chat("null", ErrorKind.REQUEST_INVALID, "null"),
                BadInput.chat("no model", ErrorKind.REQUEST_INVALID, "{" + message + "}"),
                BadInput.chat("blank model", ErrorKind.REQUEST_INVALID, "{\"model\":\" \"," + message + "}"),
                BadInput.chat("model is a number", ErrorKind.REQUEST_INVALID, "{\"model\":3," + message + "}"),
                BadInput.chat("no messages", ErrorKind.REQUEST_INVALID, "{\"model\":\"small\",\"messages\":[]}"),
                BadInput.chat(
                        "message is a string", ErrorKind.REQUEST_INVALID, "{\"model\":\"small\",\"messages\":[\"x\"]}"),
                BadInput.chat(
                        "no tokens",
                        ErrorKind.REQUEST_INVALID,
                        "{\"model\":\"small\",\"max_tokens\":0," + message + "}"),
                BadInput.chat(
                        "too many tokens",
                        ErrorKind.REQUEST_INVALID,
                        "{\"model\":\"small\",\"max_tokens\":99999999999," + message + "}"),
                BadInput.chat(
                        "stream is a string",
                        ErrorKind.REQUEST_INVALID,
                        "{\"model\":\"small\",\"stream\":\"yes\"," + message + "}"),
                BadInput.chat("body too large", ErrorKind.BODY_TOO_LARGE, "x".repeat(Fixture.BODY_BYTES + 1)),
                BadInput.of("GET on chat", ErrorKind.METHOD_NOT_ALLOWED, "GET " + CHAT),
                BadInput.of("DELETE on work", ErrorKind.METHOD_NOT_ALLOWED, "DELETE /v1/work/1"),
                BadInput.of("unknown path", ErrorKind.UNKNOWN_ROUTE, "GET /nothing"),
                BadInput.of("unknown route", ErrorKind.UNKNOWN_ROUTE, "POST /v1/services/none"),
                BadInput.of("empty route", ErrorKind.UNKNOWN_ROUTE, "POST /v1/services/"),
                BadInput.of("malformed work id", ErrorKind.WORK_NOT_FOUND, "GET /v1/work/a.b"),
                BadInput.of(
                        "no authorization scheme",
                        ErrorKind.UNAUTHENTICATED,
                        "POST " + CHAT,
                        "Authorization",
                        "mill-key"),
                BadInput.of(
                        "wrong account key", ErrorKind.UNAUTHENTICATED, "POST " + CHAT, "Authorization", "Bearer none"),
                BadInput.of("empty account key", ErrorKind.UNAUTHENTICATED, "POST " + CHAT, "Authorization", "Bearer "),
                BadInput.of("unknown rank", ErrorKind.RANK_NOT_ALLOWED, "POST " + CHAT, "X-Rank", "none"),
                BadInput.of(
                        "rank of another account",
                        ErrorKind.RANK_NOT_ALLOWED,
                        "POST " + CHAT,
                        "Authorization",
                        "Bearer yard-key",
                        "X-Rank",
                        "urgent"),
                BadInput.of(
                        "route's rank not allowed for the account",
                        ErrorKind.RANK_NOT_ALLOWED,
                        "POST /v1/services/stock",
                        "Authorization",
                        "Bearer yard-key"),
                BadInput.of("no idempotency key", ErrorKind.IDEMPOTENCY_KEY_MISSING, "POST /v1/services/order"),
                BadInput.of(
                        "idempotency key too long",
                        ErrorKind.IDEMPOTENCY_KEY_INVALID,
                        "POST /v1/services/order",
                        "Idempotency-Key",
                        "k".repeat(201)),
                BadInput.of(
                        "idempotency key with space",
                        ErrorKind.IDEMPOTENCY_KEY_INVALID,
                        "POST /v1/services/order",
                        "Idempotency-Key",
                        "a b"),
                BadInput.of(
                        "headers too large",
                        ErrorKind.HEADERS_TOO_LARGE,
                        "POST " + CHAT,
                        "X-Filler",
                        "x".repeat(5_000)));
    }

    @Nested
    class BadInputs {
        @ParameterizedTest
        @MethodSource("org.plantainwharf.front.CallerFrontendTest#badInputs")
        void getTheirErrorAndAffectNoOtherCall(BadInput input) throws Exception {
            HttpRequest.Builder request = request(input.method(), input.path(), input.body());
            input.headers().forEach(request::setHeader);
            assertFailure(input.expected(), send(request).get());
            assertTrue(events.isEmpty(), "a refused request must not reach the control thread");
            assertGoodCallStillWorks();
        }

        @Test
        void includeRepeatedHeadersSinceTheirValueIsAmbiguous() throws Exception {
            HttpRequest.Builder request =
                    chat(GOOD_CHAT).header("X-Rank", "urgent").header("X-Rank", "long");
            assertFailure(ErrorKind.REQUEST_INVALID, send(request).get());
        }

        @Test
        void includeOversizedBodiesWithoutContentLength() throws Exception {
            HttpRequest.Builder request = chat("").POST(
                            BodyPublishers.ofInputStream(() -> new java.io.ByteArrayInputStream(new byte[5_000])));
            assertFailure(ErrorKind.BODY_TOO_LARGE, send(request).get());
        }

        @Test
        void includeMalformedHttpMessages() throws Exception {
            try (Socket socket = new Socket("127.0.0.1", front.port())) {
                socket.getOutputStream().write("POST  /x HTTP/1.1\r\nHost\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
                assertTrue(answer.contains("\"code\":\"request_invalid\""), answer);
            }
        }

        private void assertGoodCallStillWorks() throws Exception {
            CompletableFuture<HttpResponse<String>> response = send(chat(GOOD_CHAT));
            Call call = events.next(CallEvent.CallArrived.class).call();
            front.execute(new CallEffect.AnswerCall(call.id(), 200, text("fine")));
            assertEquals("fine", response.get().body());
        }
    }

    private static Content text(String value) {
        return Content.of("text/plain", value.getBytes(StandardCharsets.UTF_8));
    }

    @Nested
    class Failures {
        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void ofEveryKindReachTheCallerAsInTheErrorTable(ErrorKind kind) throws Exception {
            CompletableFuture<HttpResponse<String>> response = send(chat(GOOD_CHAT));
            Call call = events.next(CallEvent.CallArrived.class).call();
            front.execute(new CallEffect.FailCall(call.id(), Failure.of(kind, "one", "two")));
            assertFailure(kind, response.get());
        }

        @Test
        void canOverrideTheExecutionStatusOfTheirKind() throws Exception {
            CompletableFuture<HttpResponse<String>> response = send(chat(GOOD_CHAT));
            Call call = events.next(CallEvent.CallArrived.class).call();
            Failure failure = Failure.of(ErrorKind.SERVER_FAILED, "x")
                    .withExecutionStatus(ExecutionStatus.YES)
                    .withRetryAfter(Duration.ofMillis(1_200));
            front.execute(new CallEffect.FailCall(call.id(), failure));
            assertEquals("yes", response.get().headers().firstValue("X-Ran").orElse(""));
            assertEquals("2", response.get().headers().firstValue("Retry-After").orElse(""));
            assertFalse(json(response.get()).path("error").path("retry").asBoolean());
        }

        @Test
        void includeAFullEventQueue() throws Exception {
            events.setFull(true);
            assertFailure(ErrorKind.ENTRY_QUEUE_FULL, send(chat(GOOD_CHAT)).get());
            assertEquals(0, front.openExchanges());
        }
    }

    @Nested
    class RequestParsing {
        @Test
        void keepsPromptTokensAndPrefixesOfAModelCall() throws Exception {
            String prompt = "x".repeat(600);
            send(
                    chat("{\"model\":\"small\",\"max_tokens\":7,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\""
                                    + prompt + "\"}]}")
                            .header("X-Rank", "urgent"));
            Call call = events.next(CallEvent.CallArrived.class).call();
            CallKind.Model model = (CallKind.Model) call.kind();
            assertEquals(7, model.maximumTokens());
            assertEquals(606 / 4, model.promptTokens());
            assertEquals(2, model.prefixBlocks().size());
            assertTrue(model.stream());
            assertEquals(Duration.ofSeconds(5).toNanos(), call.deadlineNanos() - call.arrivedNanos());
        }

        @Test
        void changesAllLaterHashesWithTheFirstBlock() {
            byte[] first = "a".repeat(600).getBytes(StandardCharsets.UTF_8);
            byte[] second = first.clone();
            second[0] = 'b';
            assertEquals(java.util.Set.of(), new java.util.HashSet<>(PrefixBlocks.hashes(first)) {
                private static final long serialVersionUID = 1L;

                {
                    retainAll(PrefixBlocks.hashes(second));
                }
            });
        }

        @Test
        void defaultsToTheLeastUrgentRank() throws Exception {
            send(chat(GOOD_CHAT));
            assertEquals(
                    "long",
                    events.next(CallEvent.CallArrived.class).call().rank().value());
        }

        @Test
        void takesRepeatabilityFromTheSheetOnly() throws Exception {
            send(request("POST", "/v1/services/stock", "x")
                    .header("Authorization", "Bearer mill-key")
                    .header("Idempotency-Key", "k"));
            assertTrue(events.next(CallEvent.CallArrived.class).call().kind() instanceof CallKind.Service);
            send(request("POST", "/v1/services/order", "x")
                    .header("Authorization", "Bearer mill-key")
                    .header("Idempotency-Key", "k"));
            assertTrue(events.next(CallEvent.CallArrived.class).call().kind() instanceof CallKind.Order);
        }

        @Test
        void givesEqualBodiesOfTwoAccountsDifferentFingerprints() throws Exception {
            send(chat(GOOD_CHAT));
            send(request("POST", CHAT, GOOD_CHAT).header("Authorization", "Bearer yard-key"));
            Call first = events.next(CallEvent.CallArrived.class).call();
            Call second = events.next(CallEvent.CallArrived.class).call();
            assertFalse(first.fingerprint().equals(second.fingerprint()));
        }
    }

    @Nested
    class Work {
        @Test
        void isAcceptedFoundAndFetchedByItsId() throws Exception {
            CompletableFuture<HttpResponse<String>> accepted =
                    send(request("POST", "/v1/work", GOOD_CHAT).header("Authorization", "Bearer mill-key"));
            Call call = events.next(CallEvent.CallArrived.class).call();
            front.execute(new CallEffect.AcceptCall(call.id()));
            assertEquals(202, accepted.get().statusCode());
            String id = json(accepted.get()).path("id").asText();
            assertEquals(call.id().value(), id);

            CompletableFuture<HttpResponse<String>> state =
                    send(request("GET", "/v1/work/" + id, "").header("Authorization", "Bearer mill-key"));
            CallEvent.WorkAsked asked = events.next(CallEvent.WorkAsked.class);
            assertFalse(asked.includeAnswer());
            front.execute(new CallEffect.ReportFinished(asked.queryRequest(), asked.work(), 200, 5, "abc"));
            assertEquals("finished", json(state.get()).path("state").asText());

            CompletableFuture<HttpResponse<String>> result =
                    send(request("GET", "/v1/work/" + id + "/result", "").header("Authorization", "Bearer mill-key"));
            assertTrue(events.next(CallEvent.WorkAsked.class).includeAnswer());
            assertFalse(result.isDone());
        }
    }

    @Nested
    class Streams {
        private CompletableFuture<HttpResponse<String>> response = new CompletableFuture<>();

        @SuppressWarnings("NullAway.Init")
        private Call begun;

        private Call begin(HttpClient client) {
            response = client.sendAsync(chat(GOOD_CHAT).build(), BodyHandlers.ofString());
            Call call = events.next(CallEvent.CallArrived.class).call();
            writeFirstEvent(call);
            return call;
        }

        private void writeFirstEvent(Call call) {
            ResponseSink sink = front.sink(call.id()).orElseThrow();
            sink.begin(200, "text/event-stream");
            sink.write("data: 1\n\n".getBytes(StandardCharsets.UTF_8), () -> {});
        }

        @Test
        void endWithDoneOnlyWhenFinished() throws Exception {
            front.execute(new CallEffect.FinishStream(begin(http).id()));
            assertEquals("data: 1\n\ndata: [DONE]\n\n", response.get().body());
        }

        @Test
        void thatFailEndWithAnErrorEventAndWithoutDone() throws Exception {
            Call call = begin(http);
            front.execute(new CallEffect.FailCall(call.id(), Failure.of(ErrorKind.DEADLINE_EXCEEDED)));
            String body = response.get().body();
            assertTrue(
                    body.startsWith("data: 1\n\nevent: error\ndata: {\"error\":{\"code\":\"deadline_exceeded\""), body);
            assertFalse(body.contains("[DONE]"));
        }

        @Test
        void discardBytesWrittenAfterTheirEnd() throws Exception {
            Call call = begin(http);
            ResponseSink sink = front.sink(call.id()).orElseThrow();
            front.execute(new CallEffect.FinishStream(call.id()));
            response.get();
            sink.write("data: late\n\n".getBytes(StandardCharsets.UTF_8), () -> {});
            assertFalse(response.get().body().contains("late"));
            assertTrue(front.sink(call.id()).isEmpty());
        }

        /** A caller without the end marker of the protocol may take the end of its connection for the end of the body. */
        @ParameterizedTest
        @EnumSource(RawCaller.Connection.class)
        void lookBrokenOffWhenTheDaemonStops(RawCaller.Connection connection) throws Exception {
            try (RawCaller caller = beginFor(connection)) {
                caller.awaitAnswer();
                front.stop();
                assertFalse(caller.receive().complete());
            }
        }

        @ParameterizedTest
        @EnumSource(RawCaller.Connection.class)
        void lookCompleteWhenFinished(RawCaller.Connection connection) throws Exception {
            try (RawCaller caller = beginFor(connection)) {
                caller.awaitAnswer();
                front.execute(new CallEffect.FinishStream(begun.id()));
                RawCaller.Answer answer = caller.receive();
                assertTrue(answer.complete());
                assertEquals("data: 1\n\ndata: [DONE]\n\n", answer.body());
            }
        }

        private RawCaller beginFor(RawCaller.Connection connection) throws IOException {
            RawCaller caller = RawCaller.connect("127.0.0.1", front.port());
            caller.post(connection, CHAT, "Authorization: Bearer mill-key\r\n", GOOD_CHAT);
            begun = events.next(CallEvent.CallArrived.class).call();
            writeFirstEvent(begun);
            return caller;
        }

        @Test
        void workOverHttp2OnTheSamePort() throws Exception {
            try (HttpClient second = http2()) {
                front.execute(new CallEffect.FinishStream(begin(second).id()));
                assertEquals(HttpClient.Version.HTTP_2, response.get().version());
                assertEquals("data: 1\n\ndata: [DONE]\n\n", response.get().body());
            }
        }

        @Test
        void bufferedAnswersThatFailAreReplacedByTheError() throws Exception {
            CompletableFuture<HttpResponse<String>> answer = send(chat(GOOD_CHAT));
            Call call = events.next(CallEvent.CallArrived.class).call();
            ResponseSink sink = front.sink(call.id()).orElseThrow();
            sink.begin(200, "application/json");
            sink.write("{\"half\":".getBytes(StandardCharsets.UTF_8), () -> {});
            front.execute(new CallEffect.FailCall(call.id(), Failure.of(ErrorKind.ANSWER_TRUNCATED)));
            assertFailure(ErrorKind.ANSWER_TRUNCATED, answer.get());
        }
    }

    @Nested
    class Disconnects {
        private Socket open() throws IOException {
            Socket socket = new Socket("127.0.0.1", front.port());
            OutputStream out = socket.getOutputStream();
            out.write(("POST " + CHAT + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer mill-key\r\nContent-Length: "
                            + GOOD_CHAT.length() + "\r\n\r\n" + GOOD_CHAT)
                    .getBytes(StandardCharsets.US_ASCII));
            return socket;
        }

        @Test
        void areDetectedWhileNothingIsWritten() throws Exception {
            Socket socket = open();
            Call call = events.next(CallEvent.CallArrived.class).call();
            socket.close();
            assertEquals(call.id(), events.next(CallEvent.CallerLeft.class).request());
            assertEquals(Optional.empty(), front.sink(call.id()));
        }

        @Test
        void areDetectedOverHttp2() throws Exception {
            HttpClient second = http2();
            second.sendAsync(chat(GOOD_CHAT).build(), BodyHandlers.ofString());
            Call call = events.next(CallEvent.CallArrived.class).call();
            second.shutdownNow();
            assertEquals(call.id(), events.next(CallEvent.CallerLeft.class).request());
        }

        @Test
        void areNotConfusedWithPipelinedRequests() throws Exception {
            try (Socket socket = open()) {
                Call first = events.next(CallEvent.CallArrived.class).call();
                String next = "GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
                socket.getOutputStream().write(next.getBytes(StandardCharsets.US_ASCII));
                front.execute(new CallEffect.AnswerCall(first.id(), 200, text("first")));
                InputStream in = socket.getInputStream();
                String answers = new String(in.readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(answers.contains("first"), answers);
                assertTrue(answers.endsWith("ok\n"), answers);
                assertTrue(events.isEmpty());
            }
        }
    }

    @Nested
    class Health {
        private HttpResponse<String> get() throws Exception {
            return send(request("GET", "/health", "")).get();
        }

        @Test
        void failsAsSoonAsADrainBegins() throws Exception {
            assertEquals(200, get().statusCode());
            view = Fixture.view(new DrainPhase.Announcing(0));
            assertEquals(503, get().statusCode());
            CompletableFuture<HttpResponse<String>> call = send(chat(GOOD_CHAT));
            front.execute(new CallEffect.AnswerCall(
                    events.next(CallEvent.CallArrived.class).call().id(), 200, text("taken")));
            assertEquals(200, call.get().statusCode());
            view = Fixture.view(new DrainPhase.Finishing(0));
            assertFailure(ErrorKind.DRAINING, send(chat(GOOD_CHAT)).get());
        }

        @Test
        void failsWithoutConfiguration() throws Exception {
            view = new BoardView(Optional.empty(), false, new DrainPhase.Serving(), 0, false, false);
            assertFailure(ErrorKind.CONFIGURATION_MISSING, get());
            assertFailure(ErrorKind.CONFIGURATION_MISSING, send(chat(GOOD_CHAT)).get());
        }
    }
}
