package org.plantainwharf.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.plantainwharf.call.Content;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.metric.Telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against answers that are put together from two sources, or that get lost, when what ends a request meets what
 * begins its answer.
 */
@Timeout(60)
class AnswerOwnerTest {
    private static final String SERVER_BODY = "body of the server";
    private static final List<HttpField> SERVER_HEADERS =
            List.of(new HttpField("X-Seal", "s"), new HttpField("Content-Type", "text/plain"));
    private static final byte[] HELD_BODY = "error of the server".getBytes(StandardCharsets.US_ASCII);

    /** In failures that are formatted meanwhile. */
    private static final int LONGEST_DELAY = 20;

    /** What a server's answer consists of. */
    enum Beginning {
        HEAD,
        FIRST_BYTES,
        END;

        void run(ForwardedCall call) {
            call.begin(200, SERVER_HEADERS);
            if (this != HEAD) {
                call.write(ByteBuffer.wrap(SERVER_BODY.getBytes(StandardCharsets.US_ASCII)), Callback.NOOP);
            }
            if (this == END) {
                call.complete();
            }
        }
    }

    /** What ends a request without the rest of its answer. */
    enum Ending {
        /** The timeout of the route or the deadline of the caller. */
        TIMEOUT {
            @Override
            void run(ForwardedCall call) {
                call.refuse(Failure.of(ErrorKind.DEADLINE_EXCEEDED));
            }
        },
        /** A refusal of the control thread, such as one because of the content. */
        REFUSAL {
            @Override
            void run(ForwardedCall call) {
                call.refuse(Failure.of(ErrorKind.REQUEST_CRASHED_SERVERS));
            }
        },
        /** The error response of the server that was tried last. */
        ERROR_OF_A_SERVER {
            @Override
            void run(ForwardedCall call) {
                call.recordFailureResponse(503, List.of(new HttpField("X-Seal", "held")), HELD_BODY);
                call.sendHeldFailure();
            }
        };

        abstract void run(ForwardedCall call);
    }

    /** A listener that leaves each request to the test. */
    private static final class Stage<T> implements AutoCloseable {
        private final AtomicInteger ends = new AtomicInteger();
        private final CountDownLatch ended = new CountDownLatch(1);
        private final HttpListener listener;
        private volatile CompletableFuture<T> arrived = new CompletableFuture<>();

        Stage(BiFunction<HttpTransaction, Runnable, T> exchange) {
            this.listener = HttpListener.create(
                    "stage",
                    "127.0.0.1:0",
                    false,
                    Fixture.settings().bounds(),
                    new Handler.Abstract() {
                        @Override
                        public boolean handle(Request request, Response response, Callback callback) {
                            arrived.complete(exchange.apply(
                                    new HttpTransaction(request, response, callback), Stage.this::recordEnd));
                            return true;
                        }
                    },
                    LibraryAnswers.create("stage", new Telemetry(new MetricRegistry(), (event, fields) -> {})));
            listener.start();
        }

        private void recordEnd() {
            ends.incrementAndGet();
            ended.countDown();
        }

        /** Waits until an exchange has ended. */
        void awaitEnd() throws InterruptedException {
            assertTrue(ended.await(10, TimeUnit.SECONDS));
        }

        RawCaller connect() throws Exception {
            return RawCaller.connect("127.0.0.1", listener.port());
        }

        /** Sends a request and returns the exchange that it begins. */
        T ask(RawCaller caller) throws Exception {
            arrived = new CompletableFuture<>();
            caller.send(RawCaller.Connection.KEPT, "/x", "a.example", "");
            return arrived.get(10, TimeUnit.SECONDS);
        }

        @Override
        public void close() throws Exception {
            listener.stop();
        }
    }

    private record Forwarded(ForwardedCall call, HeldResponse response) {
        static Forwarded create(HttpTransaction transaction, HeldResponse.Point point, Runnable onEnd) {
            HeldResponse response = HeldResponse.create(transaction.response(), point);
            ForwardedCall call = new ForwardedCall(
                    "r-1",
                    new HttpTransaction(transaction.request(), response, transaction.callback()),
                    List.of(),
                    new byte[0],
                    false,
                    new ForwardedCall.Callbacks(() -> {}, status -> {}, onEnd, (marker, reason) -> {}, () -> {}));
            call.watchCaller();
            call.markSubmitted();
            return new Forwarded(call, response);
        }
    }

    private static void assertOneSource(RawCaller.Answer answer) {
        Map<String, String> headers = answer.headers();
        switch (answer.status()) {
            case 200 -> {
                assertEquals("s", headers.get("x-seal"), answer.toString());
                assertEquals("text/plain", headers.get("content-type"), answer.toString());
                assertTrue(SERVER_BODY.startsWith(answer.body()), answer.toString());
                assertFalse(answer.complete() && !answer.body().equals(SERVER_BODY), answer.toString());
            }
            case 503 -> {
                assertEquals("held", headers.get("x-seal"), answer.toString());
                assertEquals(new String(HELD_BODY, StandardCharsets.US_ASCII), answer.body());
                assertTrue(answer.complete(), answer.toString());
            }
            case 504, 502 -> {
                assertFalse(headers.containsKey("x-seal"), answer.toString());
                assertEquals("application/json", headers.get("content-type"), answer.toString());
                assertTrue(answer.body().contains("\"request_id\":\"r-1\""), answer.toString());
                assertTrue(answer.complete(), answer.toString());
            }
            default -> throw new AssertionError("neither the server's answer nor a failure: " + answer);
        }
    }

    private static Stage<Forwarded> stage(HeldResponse.Point point) {
        return new Stage<>((transaction, onEnd) -> Forwarded.create(transaction, point, onEnd));
    }

    @Nested
    class ForwardedAnswers {
        /** Callers got a failure under the head of a server's answer, or a server's answer under that of a failure. */
        @ParameterizedTest
        @CsvSource({
            "STATUS, FIRST_BYTES, TIMEOUT",
            "STATUS, END, TIMEOUT",
            "WRITE, FIRST_BYTES, TIMEOUT",
            "WRITE, END, TIMEOUT",
            "STATUS, FIRST_BYTES, REFUSAL",
            "WRITE, END, REFUSAL",
            "STATUS, FIRST_BYTES, ERROR_OF_A_SERVER",
            "WRITE, END, ERROR_OF_A_SERVER"
        })
        void haveOneSourceIfAnEndMeetsABeginning(HeldResponse.Point point, Beginning beginning, Ending ending)
                throws Exception {
            RawCaller.Answer answer = answerOf(point, beginning::run, ending::run);
            assertEquals(200, answer.status(), answer.toString());
        }

        @ParameterizedTest
        @CsvSource({
            "STATUS, HEAD, TIMEOUT",
            "STATUS, FIRST_BYTES, TIMEOUT",
            "STATUS, END, TIMEOUT",
            "WRITE, HEAD, TIMEOUT",
            "WRITE, FIRST_BYTES, TIMEOUT",
            "WRITE, END, TIMEOUT",
            "STATUS, FIRST_BYTES, REFUSAL",
            "WRITE, END, REFUSAL",
            "STATUS, FIRST_BYTES, ERROR_OF_A_SERVER",
            "WRITE, END, ERROR_OF_A_SERVER"
        })
        void haveOneSourceIfABeginningMeetsAnEnd(HeldResponse.Point point, Beginning beginning, Ending ending)
                throws Exception {
            RawCaller.Answer answer = answerOf(point, ending::run, beginning::run);
            assertTrue(answer.status() >= 500, answer.toString());
        }

        /** The caller got an internal error, since the library had to answer. */
        @ParameterizedTest
        @EnumSource(Ending.class)
        void areFailuresOfTheirOwnKindUntilTheFirstByte(Ending ending) throws Exception {
            try (Stage<Forwarded> stage = stage(HeldResponse.Point.STATUS);
                    RawCaller caller = stage.connect()) {
                ForwardedCall call = stage.ask(caller).call();
                call.begin(200, SERVER_HEADERS);
                ending.run(call);
                RawCaller.Answer answer = caller.receive();
                assertOneSource(answer);
                assertTrue(answer.status() >= 500, answer.toString());
                assertEquals(1, stage.ends.get());
            }
        }

        /** The body of a later attempt was sent under the head of an earlier one that had broken off before it. */
        @Test
        void bearTheHeadOfTheAttemptThatSendsTheFirstByte() throws Exception {
            try (Stage<Forwarded> stage = stage(HeldResponse.Point.STATUS);
                    RawCaller caller = stage.connect()) {
                ForwardedCall call = stage.ask(caller).call();
                call.begin(200, List.of(new HttpField("X-Seal", "former"), new HttpField("X-Other", "former")));
                Beginning.END.run(call);
                RawCaller.Answer answer = caller.receive();
                assertOneSource(answer);
                assertFalse(answer.headers().containsKey("x-other"), answer.toString());
            }
        }

        /** The head of a server's answer was set in part, and the failure that followed bore that part. */
        @ParameterizedTest
        @EnumSource(Ending.class)
        void areFailuresOfOneSourceIfTheHeadCannotBeSet(Ending ending) throws Exception {
            try (Stage<Forwarded> stage = stage(HeldResponse.Point.HEADERS);
                    RawCaller caller = stage.connect()) {
                Forwarded forwarded = stage.ask(caller);
                forwarded.response().runOnce(() -> {
                    forwarded.response().getHeaders().put("X-Seal", "s");
                    throw new IllegalStateException("injected");
                });
                CompletableFuture<Boolean> written = new CompletableFuture<>();
                forwarded.call().begin(200, SERVER_HEADERS);
                forwarded
                        .call()
                        .write(
                                ByteBuffer.allocate(1),
                                Callback.from(() -> written.complete(true), cause -> written.complete(false)));
                assertFalse(written.get(10, TimeUnit.SECONDS));
                ending.run(forwarded.call());
                RawCaller.Answer answer = caller.receive();
                assertOneSource(answer);
                assertTrue(answer.status() >= 500, answer.toString());
            }
        }

        /** An answer that begins after its caller has left must not use a connection that has been closed. */
        @ParameterizedTest
        @EnumSource(Beginning.class)
        void areDiscardedIfTheirCallerHasLeft(Beginning beginning) throws Exception {
            try (Stage<Forwarded> stage = stage(HeldResponse.Point.STATUS)) {
                ForwardedCall call;
                try (RawCaller caller = stage.connect()) {
                    call = stage.ask(caller).call();
                }
                stage.awaitEnd();
                assertFalse(call.isOpen());
                beginning.run(call);
                CompletableFuture<Boolean> written = new CompletableFuture<>();
                call.write(
                        ByteBuffer.allocate(1),
                        Callback.from(() -> written.complete(true), cause -> written.complete(false)));
                assertFalse(written.get(10, TimeUnit.SECONDS));
                assertEquals(1, stage.ends.get());
            }
        }

        /** Holds the first operation where it uses the response until the second one has been requested. */
        private RawCaller.Answer answerOf(
                HeldResponse.Point point, Consumer<ForwardedCall> first, Consumer<ForwardedCall> second)
                throws Exception {
            try (Stage<Forwarded> stage = stage(point);
                    RawCaller caller = stage.connect()) {
                Forwarded forwarded = stage.ask(caller);
                CountDownLatch reached = new CountDownLatch(1);
                CountDownLatch released = new CountDownLatch(1);
                forwarded.response().runOnce(() -> {
                    reached.countDown();
                    await(released);
                });
                Thread thread = new Thread(() -> first.accept(forwarded.call()), "first");
                thread.start();
                assertTrue(reached.await(10, TimeUnit.SECONDS));
                second.accept(forwarded.call());
                released.countDown();
                thread.join();
                RawCaller.Answer answer = caller.receive();
                assertOneSource(answer);
                assertEquals(1, stage.ends.get());
                return answer;
            }
        }
    }

    @Group
    @Label("Forwarded answers without steps")
    class ForwardedAnswersWithoutSteps {
        /** The answer begins within some microseconds of the timeout, as it does where servers take about that long. */
        @Property(tries = 1)
        void haveOneSourceIfBothHappenAtOnce(@ForAll Random delays) throws Exception {
            int rounds = 4_000;
            CyclicBarrier barrier = new CyclicBarrier(2);
            try (Stage<Forwarded> stage = stage(HeldResponse.Point.STATUS)) {
                RawCaller caller = stage.connect();
                for (int round = 0; round < rounds; round++) {
                    ForwardedCall call = stage.ask(caller).call();
                    int delay = delays.nextInt(LONGEST_DELAY);
                    Thread server = new Thread(() -> {
                        await(barrier);
                        work(delay);
                        Beginning.END.run(call);
                    });
                    server.start();
                    barrier.await(10, TimeUnit.SECONDS);
                    Ending.TIMEOUT.run(call);
                    server.join();
                    RawCaller.Answer answer = caller.receive();
                    assertOneSource(answer);
                    assertEquals(round + 1, stage.ends.get());
                    if (!answer.complete()) {
                        caller.close();
                        caller = stage.connect();
                    }
                }
                caller.close();
            }
        }
    }

    /** The second request path: calls of the project's own interface. */
    @Nested
    class AnswersOfCalls {
        private Stage<Exchange> stage() {
            return new Stage<>((transaction, onEnd) -> {
                HeldResponse response = HeldResponse.create(transaction.response(), HeldResponse.Point.HEADERS);
                HttpExchange exchange = HttpExchange.create(
                        RequestId.of("r-1"), transaction.request(), response, transaction.callback(), () -> {}, onEnd);
                return new Exchange(exchange, response);
            });
        }

        private record Exchange(HttpExchange exchange, HeldResponse response) {}

        /** The failure was lost, and its caller waited for the rest of a stream that had just begun. */
        @Test
        void areFailuresIfAStreamBeginsMeanwhile() throws Exception {
            try (Stage<Exchange> stage = stage();
                    RawCaller caller = stage.connect()) {
                Exchange exchange = stage.ask(caller);
                exchange.response().runOnce(() -> exchange.exchange().begin(200, "text/event-stream"));
                exchange.exchange().fail(Failure.of(ErrorKind.DEADLINE_EXCEEDED));
                RawCaller.Answer answer = caller.receive();
                assertEquals(504, answer.status(), answer.toString());
                assertEquals("application/json", answer.headers().get("content-type"));
                assertTrue(answer.complete(), answer.toString());
            }
        }

        /** A failure took the place of an answer that was complete, or was put together with it. */
        @Test
        void areWholeIfAFailureArrivesMeanwhile() throws Exception {
            try (Stage<Exchange> stage = stage();
                    RawCaller caller = stage.connect()) {
                Exchange exchange = stage.ask(caller);
                exchange.exchange().begin(200, "text/plain");
                exchange.exchange().write(SERVER_BODY.getBytes(StandardCharsets.US_ASCII), () -> {});
                exchange.response().runOnce(() -> exchange.exchange().fail(Failure.of(ErrorKind.DEADLINE_EXCEEDED)));
                exchange.exchange().finish();
                RawCaller.Answer answer = caller.receive();
                assertEquals(200, answer.status(), answer.toString());
                assertEquals(SERVER_BODY, answer.body());
                assertFalse(answer.headers().containsKey("x-ran"), answer.toString());
            }
        }

        /** An accepted call must not bear the place of its result if it is answered by something else. */
        @Test
        void bearNoHeaderOfAnotherAnswer() throws Exception {
            try (Stage<Exchange> stage = stage();
                    RawCaller caller = stage.connect()) {
                Exchange exchange = stage.ask(caller);
                exchange.response().runOnce(() -> exchange.exchange()
                        .answer(200, Content.of("text/plain", "first".getBytes(StandardCharsets.US_ASCII))));
                exchange.exchange().fail(Failure.of(ErrorKind.DEADLINE_EXCEEDED));
                RawCaller.Answer answer = caller.receive();
                assertEquals(answer.status() == 200, !answer.headers().containsKey("x-ran"), answer.toString());
            }
        }
    }

    /** Takes as long as it takes to format a number of failures. */
    private static void work(int count) {
        for (int index = 0; index < count; index++) {
            FailureBody.toJson(Failure.of(ErrorKind.DEADLINE_EXCEEDED), "r-2");
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void await(CyclicBarrier barrier) {
        try {
            barrier.await(10, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
