package org.plantainwharf.backend;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.control.Clock;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.identity.ServerId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against parts of answers that look whole when a server answers before it has read its request. */
@Timeout(30)
class EarlyResponseTest {
    private static final String IDENTITY = "X-Id: r-1\r\nX-Seal: s\r\n";
    private static final String BODY = "b".repeat(1_000);
    private static final String CHUNK = "3e8\r\n" + BODY + "\r\n";
    private static final int DEADLINE_SECONDS = 5;

    private static final long ANSWER_WAIT_MILLIS = 300;

    /** Larger than the buffers of the operating system, so that it cannot be written before it is read. */
    private static final int UPLOAD_BYTES = 32 << 20;

    private final HttpClient client = HttpClients.start("test", 8, 4_000);
    private final QueueingEventSink events = QueueingEventSink.create();
    private RecordingExchange exchange = RecordingExchange.withBody("r-1", UPLOAD_BYTES);

    @AfterEach
    void stopClient() throws Exception {
        client.stop();
    }

    /** How the server ends its side after the answer, with the upload unread. */
    private enum End {
        SHUTDOWN_AND_CLOSE,
        CLOSE,
        RESET,
        HOLD,
        READ_AND_CLOSE
    }

    private ForwardOutcome outcome(String response, End end) throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4_096);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Thread thread = new Thread(() -> serve(server, response, end, ended), "scripted-server");
            thread.start();
            ForwardEffect.StartForward start = new ForwardEffect.StartForward(
                    1,
                    1,
                    ServerId.of("i-1"),
                    1,
                    "127.0.0.1:" + server.getLocalPort(),
                    System.nanoTime() + TimeUnit.SECONDS.toNanos(DEADLINE_SECONDS),
                    Optional.empty(),
                    0,
                    false);
            ForwardAttempt.create(
                            client, ForwardTestDialect.DIALECT, Clock.system(), start, exchange, events, attempt -> {})
                    .send();
            while (true) {
                Event event = events.poll(TimeUnit.SECONDS.toMillis(DEADLINE_SECONDS));
                assertNotNull(event, "the attempt did not end");
                if (event instanceof ForwardEvent.ForwardEnded forwardEnded) {
                    ended.countDown();
                    thread.join();
                    return forwardEnded.outcome();
                }
            }
        }
    }

    private void serve(ServerSocket server, String response, End end, CountDownLatch ended) {
        try (Socket socket = server.accept()) {
            if (end == End.READ_AND_CLOSE) {
                readRequest(socket.getInputStream());
            } else {
                socket.getInputStream().readNBytes(64);
            }
            OutputStream out = socket.getOutputStream();
            out.write(response.getBytes(StandardCharsets.US_ASCII));
            out.flush();
            if (end == End.HOLD) {
                ended.await(2L * DEADLINE_SECONDS, TimeUnit.SECONDS);
            } else if (end != End.READ_AND_CLOSE) {
                // A reset discards what the client has not received.
                exchange.awaitBytes(ANSWER_WAIT_MILLIS);
            }
            if (end == End.SHUTDOWN_AND_CLOSE) {
                socket.shutdownOutput();
            } else if (end == End.RESET) {
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readRequest(InputStream in) throws IOException {
        byte[] end = {'\r', '\n', '\r', '\n'};
        for (int matched = 0; matched < end.length; ) {
            matched = in.read() == end[matched] ? matched + 1 : 0;
        }
        in.readNBytes(exchange.body().length);
    }

    private static void assertBroken(boolean begun, ForwardOutcome outcome) {
        assertEquals(
                begun, assertInstanceOf(ForwardOutcome.Broken.class, outcome).begun());
    }

    /** The end of the connection is the only sign of the end, and it is also what a failing server leaves behind. */
    @Nested
    class UntilTheConnectionEnds {
        @ParameterizedTest
        @ValueSource(strings = {"", "Connection: close\r\n"})
        void isBrokenOffAfterAnEndOfStream(String headers) throws Exception {
            String response = "HTTP/1.1 200 OK\r\n" + IDENTITY + headers + "\r\n" + BODY;
            assertBroken(true, outcome(response, End.SHUTDOWN_AND_CLOSE));
            assertFalse(exchange.isComplete());
        }

        @ParameterizedTest
        @EnumSource(names = {"CLOSE", "RESET"})
        void isBrokenOffAfterAReset(End end) throws Exception {
            assertBroken(true, outcome("HTTP/1.1 200 OK\r\n" + IDENTITY + "\r\n" + BODY, end));
            assertFalse(exchange.isComplete());
        }

        /** The operating system takes all of a shorter upload, so that it is written although the server has not read it. */
        @ParameterizedTest
        @ValueSource(ints = {1_000, 100_000, 500_000, 1_000_000, 2_000_000, 4_000_000})
        void isBrokenOffAlsoIfTheUploadFitsTheBuffers(int uploadBytes) throws Exception {
            exchange = RecordingExchange.withBody("r-1", uploadBytes);
            assertBroken(true, outcome("HTTP/1.1 200 OK\r\n" + IDENTITY + "\r\n" + BODY, End.SHUTDOWN_AND_CLOSE));
            assertFalse(exchange.isComplete());
        }

        @ParameterizedTest
        @ValueSource(ints = {0, 1_000, 1_000_000})
        void isCompleteOnceItsRequestWasRead(int uploadBytes) throws Exception {
            exchange = RecordingExchange.withBody("r-1", uploadBytes);
            assertInstanceOf(
                    ForwardOutcome.Completed.class,
                    outcome("HTTP/1.1 200 OK\r\n" + IDENTITY + "\r\n" + BODY, End.READ_AND_CLOSE));
            assertTrue(exchange.isComplete());
        }

        /** The client takes such an answer for none. */
        @Test
        void isBrokenOffWithAnotherEncodingThanChunks() throws Exception {
            assertInstanceOf(
                    ForwardOutcome.Broken.class,
                    outcome(
                            "HTTP/1.1 200 OK\r\n" + IDENTITY + "Transfer-Encoding: gzip\r\n\r\n" + BODY,
                            End.SHUTDOWN_AND_CLOSE));
            assertFalse(exchange.isComplete());
        }

        @Test
        void isBrokenOffAfterAnInterimResponse() throws Exception {
            String response = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + IDENTITY + "\r\n" + BODY;
            assertBroken(true, outcome(response, End.SHUTDOWN_AND_CLOSE));
        }

        /** Nothing has reached the caller, so that it gets a failure in place of part of one. */
        @Test
        void isNoErrorResponse() throws Exception {
            assertBroken(false, outcome("HTTP/1.1 500 No\r\n" + IDENTITY + "\r\n" + BODY, End.SHUTDOWN_AND_CLOSE));
            assertEquals(0, exchange.failureStatus());
        }

        @Test
        void isStillARefusal() throws Exception {
            String response = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + IDENTITY + "\r\n" + BODY;
            assertInstanceOf(ForwardOutcome.Refused.class, outcome(response, End.SHUTDOWN_AND_CLOSE));
        }
    }

    /** An answer whose framing shows its end is whole, whatever becomes of the request. */
    @Nested
    class WithAMarkedEnd {
        @ParameterizedTest
        @EnumSource(names = {"SHUTDOWN_AND_CLOSE", "CLOSE", "RESET", "HOLD"})
        void isDeliveredWithItsLength(End end) throws Exception {
            String response = "HTTP/1.1 200 OK\r\n" + IDENTITY + "Content-Length: 1000\r\n\r\n" + BODY;
            assertInstanceOf(ForwardOutcome.Completed.class, outcome(response, end));
            assertTrue(exchange.isComplete());
        }

        @Test
        void isDeliveredWithItsLastChunk() throws Exception {
            String response =
                    "HTTP/1.1 200 OK\r\n" + IDENTITY + "Transfer-Encoding: chunked\r\n\r\n" + CHUNK + "0\r\n\r\n";
            assertInstanceOf(ForwardOutcome.Completed.class, outcome(response, End.HOLD));
            assertTrue(exchange.isComplete());
        }

        @ParameterizedTest
        @EnumSource(names = {"SHUTDOWN_AND_CLOSE", "CLOSE", "RESET"})
        void isBrokenOffWithoutItsLastChunk(End end) throws Exception {
            String response = "HTTP/1.1 200 OK\r\n" + IDENTITY + "Transfer-Encoding: chunked\r\n\r\n" + CHUNK;
            assertBroken(true, outcome(response, end));
            assertFalse(exchange.isComplete());
        }

        @ParameterizedTest
        @EnumSource(names = {"SHUTDOWN_AND_CLOSE", "CLOSE", "RESET"})
        void isBrokenOffBelowItsLength(End end) throws Exception {
            String response = "HTTP/1.1 200 OK\r\n" + IDENTITY + "Content-Length: 1001\r\n\r\n" + BODY;
            assertBroken(true, outcome(response, end));
            assertFalse(exchange.isComplete());
        }

        @Test
        void isDeliveredWithoutABody() throws Exception {
            assertInstanceOf(
                    ForwardOutcome.Completed.class,
                    outcome("HTTP/1.1 204 None\r\n" + IDENTITY + "\r\n", End.SHUTDOWN_AND_CLOSE));
        }
    }

    /** A server in trouble may send any number. */
    @Nested
    class StatusesThatAreNone {
        @BeforeEach
        void sendAShortRequest() {
            exchange = RecordingExchange.withBody("r-1", 1_000);
        }

        @ParameterizedTest
        @ValueSource(strings = {"000", "099", "101", "199", "600", "999", "-20", "2", "20x"})
        void areNoAnswers(String status) throws Exception {
            String response = "HTTP/1.1 " + status + " X\r\n" + IDENTITY + "Content-Length: 1000\r\n\r\n" + BODY;
            assertBroken(false, outcome(response, End.READ_AND_CLOSE));
            assertEquals("", exchange.received());
            assertEquals(0, exchange.failureStatus());
        }

        @Test
        void areNoRefusals() throws Exception {
            String response = "HTTP/1.1 600 X\r\nX-Not-Run: 1\r\n" + IDENTITY + "Content-Length: 0\r\n\r\n";
            assertBroken(false, outcome(response, End.READ_AND_CLOSE));
        }
    }
}
