package org.plantainwharf.front;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainwharf.control.Clock;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers that are lost because their connection was closed too early, and against wrong statuses. */
@Timeout(60)
class HttpListenerTest {
    private static final int BODY_BYTES = 5 << 20;

    private final AtomicInteger requests = new AtomicInteger();
    private @Nullable HttpListener listener;

    /** Answers every request with status 413 without reading its body. */
    private final class RejectingHandler extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            requests.incrementAndGet();
            response.setStatus(413);
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 2);
            response.write(true, ByteBuffer.wrap("{}".getBytes(StandardCharsets.UTF_8)), callback);
            return true;
        }
    }

    private Socket connect() throws IOException {
        return connect(new RejectingHandler());
    }

    private Socket connect(Handler handler) throws IOException {
        HttpListener started = HttpListener.create(
                "test",
                "127.0.0.1:0",
                false,
                Samples.settings("core-1").bounds(),
                handler,
                LibraryAnswers.create("test", new Telemetry(new MetricRegistry(), (event, fields) -> {})));
        started.start();
        listener = started;
        return new Socket(InetAddress.getLoopbackAddress(), started.port());
    }

    @AfterEach
    void stop() throws Exception {
        HttpListener started = listener;
        if (started != null) {
            started.stop();
        }
    }

    private static byte[] head(String headers) {
        return ("POST /x HTTP/1.1\r\nHost: a.example\r\n" + headers + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads one answer with the body of {@link RejectingHandler}. */
    private static String readAnswer(InputStream input) throws IOException {
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith("\r\n\r\n{}")) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection ended after: " + text);
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Reads the body only once the caller has left, as a daemon does that was paused or has too little processor time. */
    @Nested
    class CallersWhoLeaveBeforeTheirRequestIsRead {
        private final CountDownLatch left = new CountDownLatch(1);
        private final CompletableFuture<Boolean> knownAtOnce = new CompletableFuture<>();

        private final class LateHandler extends Handler.Abstract {
            @Override
            public boolean handle(Request request, Response response, Callback callback) throws Exception {
                left.await();
                BodyBudget budget = BodyBudget.ofBytes(Clock.system(), BODY_BYTES);
                RequestReader.readBody(request, 100, budget, body -> {
                    AtomicBoolean disconnected = new AtomicBoolean();
                    DisconnectWatch.start(request, () -> disconnected.set(true));
                    knownAtOnce.complete(disconnected.get());
                    callback.succeeded();
                });
                return true;
            }
        }

        /** The request was passed on to a server, and the caller was found to have left only afterwards. */
        @Test
        void areKnownWhenTheWatchStarts() throws Exception {
            try (Socket client = connect(new LateHandler())) {
                client.getOutputStream().write(head("Content-Length: 2\r\n"));
                client.getOutputStream().write(new byte[2]);
            }
            left.countDown();
            assertTrue(knownAtOnce.get(20, TimeUnit.SECONDS));
        }
    }

    /** A status from 400 to 499 tells callers that the same request is wrong wherever they send it. */
    @Nested
    class RequestsDuringAStop {
        private static final int ROUNDS = 20;
        private static final int CALLERS = 6;

        private final Set<String> statuses = ConcurrentHashMap.newKeySet();
        private final Set<RawCaller> connected = ConcurrentHashMap.newKeySet();

        private final class SoundHandler extends Handler.Abstract {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                requests.incrementAndGet();
                response.write(true, ByteBuffer.wrap(new byte[1]), callback);
                return true;
            }
        }

        /** Sends requests on one connection after the other, until the listener is gone. */
        private void callUntilRefused(int port) {
            try {
                while (true) {
                    try (RawCaller caller = RawCaller.connect("127.0.0.1", port)) {
                        connected.add(caller);
                        boolean open = true;
                        while (open) {
                            caller.send(RawCaller.Connection.KEPT, "/x", "a.example", "");
                            RawCaller.Answer answer = caller.receive();
                            statuses.add(String.valueOf(answer.status()));
                            open = answer.complete()
                                    && !"close".equals(answer.headers().get("connection"));
                        }
                    }
                }
            } catch (IOException e) {
                // Expected: the listener is gone.
                return;
            }
        }

        /** Closes, like the end of the process, connections that were accepted too late to be closed by the listener. */
        private void awaitEnd(List<Thread> callers) throws Exception {
            for (Thread thread : callers) {
                while (!thread.join(Duration.ofMillis(20))) {
                    for (RawCaller caller : connected) {
                        caller.close();
                    }
                }
            }
            connected.clear();
        }

        @Test
        void areNeverAnsweredAsIfTheyWereWrong() throws Exception {
            for (int round = 0; round < ROUNDS; round++) {
                connect(new SoundHandler()).close();
                HttpListener started = Objects.requireNonNull(listener);
                int port = started.port();
                List<Thread> callers = new ArrayList<>();
                for (int caller = 0; caller < CALLERS; caller++) {
                    Thread thread = new Thread(() -> callUntilRefused(port));
                    thread.start();
                    callers.add(thread);
                }
                while (requests.get() < 100 * (round + 1)) {
                    Thread.sleep(1);
                }
                started.stop();
                awaitEnd(callers);
            }
            assertTrue(
                    statuses.stream().noneMatch(status -> status.startsWith("3") || status.startsWith("4")),
                    "statuses " + statuses);
        }
    }

    /** A host that is stopping, or a slow connection, is no fault of the request. */
    @Nested
    class ErrorsOfTheHttpLibrary {
        @ParameterizedTest
        @CsvSource({"400,400", "408,408", "431,431", "500,500", "503,503", "505,400"})
        void blameTheRequestOnlyIfItIsWrong(int status, String expected) throws Exception {
            Handler handler = new Handler.Abstract() {
                @Override
                public boolean handle(Request request, Response response, Callback callback) {
                    Response.writeError(request, response, callback, status);
                    return true;
                }
            };
            try (Socket client = connect(handler)) {
                client.getOutputStream().write(head("Content-Length: 0\r\nConnection: close\r\n"));
                String answer = new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertTrue(answer.startsWith("HTTP/1.1 " + expected + " "), answer);
            }
        }
    }

    @Nested
    class UnreadBodies {
        /** Closing a connection with unread bytes resets it, and the reset discards the answer at the receiver. */
        @Test
        void doNotLoseTheAnswerOfAClientThatReadsAfterSending() throws Exception {
            try (Socket client = connect()) {
                OutputStream output = client.getOutputStream();
                output.write(head("Content-Length: " + BODY_BYTES + "\r\n"));
                output.write(new byte[BODY_BYTES]);
                output.flush();
                assertTrue(readAnswer(client.getInputStream()).startsWith("HTTP/1.1 413 "));
            }
        }

        /** A client that waits for the answer before it sends the rest must get it without sending more. */
        @Test
        void doNotDelayTheAnswer() throws Exception {
            try (Socket client = connect()) {
                OutputStream output = client.getOutputStream();
                output.write(head("Content-Length: " + BODY_BYTES + "\r\n"));
                output.write(new byte[BODY_BYTES / 2]);
                output.flush();
                assertTrue(readAnswer(client.getInputStream()).startsWith("HTTP/1.1 413 "));
            }
        }

        /** Body bytes must not be taken for the next request of the connection. */
        @Test
        void leaveTheConnectionUsable() throws Exception {
            try (Socket client = connect()) {
                OutputStream output = client.getOutputStream();
                for (int index = 0; index < 3; index++) {
                    output.write(head("Content-Length: " + BODY_BYTES + "\r\n"));
                    output.write(new byte[BODY_BYTES]);
                    output.flush();
                    assertTrue(readAnswer(client.getInputStream()).startsWith("HTTP/1.1 413 "));
                }
                assertEquals(3, requests.get());
            }
        }

        /** Endless bytes must not hold the connection for ever. */
        @Test
        void areNotReadWithoutEnd() throws Exception {
            boolean closed = false;
            try (Socket client = connect()) {
                OutputStream output = client.getOutputStream();
                output.write(head("Content-Length: " + Long.MAX_VALUE + "\r\n"));
                byte[] part = new byte[1 << 20];
                for (int megabytes = 0; megabytes < 1_024; megabytes++) {
                    output.write(part);
                }
            } catch (IOException e) {
                closed = true;
            }
            assertTrue(closed);
        }

        /** A client that waits for permission to send may never send the body. */
        @Test
        void thatAreOnlyAnnouncedEndTheConnection() throws Exception {
            try (Socket client = connect()) {
                client.getOutputStream().write(head("Content-Length: 10\r\nExpect: 100-continue\r\n"));
                assertTrue(readAnswer(client.getInputStream()).startsWith("HTTP/1.1 413 "));
                assertEquals(-1, client.getInputStream().read());
            }
        }
    }
}
