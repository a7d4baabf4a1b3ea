package org.plantainwharf.backend;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.eclipse.jetty.client.HttpClient;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.control.Clock;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.identity.ServerId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a second copy of an answer that a server sends late, on a connection that is in use again, and that the
 * next caller would take for its own answer.
 */
@Timeout(60)
class ReusedConnectionTest {
    private final HttpClient client = HttpClients.start("test", 8, 4_000);

    @AfterEach
    void stopClient() throws Exception {
        client.stop();
    }

    /** When the copy is sent. */
    private enum Moment {
        WITH_THE_ANSWER,
        WHILE_THE_CONNECTION_IS_IDLE,
        AFTER_THE_NEXT_REQUEST,
        IN_PIECES_AROUND_THE_NEXT_REQUEST
    }

    /** How the copy and the answers are framed. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        EVENTS,
        REFUSAL,
        REFUSAL_WITHOUT_ID
    }

    private static Stream<Arguments> copies() {
        List<Arguments> arguments = new ArrayList<>();
        for (Moment moment : Moment.values()) {
            for (Framing framing : Framing.values()) {
                arguments.add(Arguments.of(moment, framing));
            }
        }
        return arguments.stream();
    }

    private static String answer(String id, Framing framing) {
        String body = "body-of-" + id;
        String head = "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\n";
        return switch (framing) {
            case LENGTH -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            case CHUNKED ->
                head + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length()) + "\r\n" + body
                        + "\r\n0\r\n\r\n";
            case EVENTS -> {
                String event = "id: 1\ndata: " + body + "\n\n";
                yield head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(event.length()) + "\r\n" + event + "\r\n0\r\n\r\n";
            }
            case REFUSAL -> "HTTP/1.1 503 Full\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            case REFUSAL_WITHOUT_ID -> "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        };
    }

    /** A server that answers each request and sends a second copy of its first answer. */
    private static final class CopyingServer implements AutoCloseable {
        final List<String> received = new CopyOnWriteArrayList<>();
        final CountDownLatch firstAnswered = new CountDownLatch(1);
        private final ServerSocket listener = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        private final Moment moment;
        private final Framing framing;
        private boolean firstConnection = true;

        CopyingServer(Moment moment, Framing framing) throws IOException {
            this.moment = moment;
            this.framing = framing;
            Thread thread = new Thread(this::accept, "copying-server");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    boolean copies = firstConnection;
                    firstConnection = false;
                    Thread thread = new Thread(() -> serve(socket, copies), "copying-server");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket, boolean copies) {
            try (socket) {
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                OutputStream output = socket.getOutputStream();
                boolean first = copies;
                String copy = "";
                for (String id = readRequest(reader); id != null; id = readRequest(reader)) {
                    received.add(id);
                    write(output, copy);
                    copy = "";
                    write(output, answer(id, framing == Framing.EVENTS ? Framing.EVENTS : Framing.LENGTH));
                    if (first) {
                        copy = sendCopy(output, answer(id, framing));
                        firstAnswered.countDown();
                    }
                    first = false;
                }
            } catch (IOException e) {
                // The client closes connections on which it receives what it did not ask for.
                firstAnswered.countDown();
            }
        }

        /** Sends what is due before the next request and returns the rest. */
        private String sendCopy(OutputStream output, String copy) throws IOException {
            return switch (moment) {
                case WITH_THE_ANSWER -> {
                    write(output, copy);
                    yield "";
                }
                case WHILE_THE_CONNECTION_IS_IDLE -> {
                    pause();
                    write(output, copy);
                    yield "";
                }
                case AFTER_THE_NEXT_REQUEST -> copy;
                case IN_PIECES_AROUND_THE_NEXT_REQUEST -> {
                    pause();
                    write(output, copy.substring(0, 12));
                    yield copy.substring(12);
                }
            };
        }

        private static void pause() {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private static void write(OutputStream output, String text) throws IOException {
            if (!text.isEmpty()) {
                output.write(text.getBytes(StandardCharsets.US_ASCII));
                output.flush();
            }
        }

        private static @Nullable String readRequest(BufferedReader reader) throws IOException {
            String id = null;
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.startsWith("X-Id: ")) {
                    id = line.substring("X-Id: ".length());
                }
                if (line.isEmpty()) {
                    return id;
                }
            }
            return null;
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** Sends requests to a server and records what their callers get. */
    private final class Requests {
        private final CopyingServer server;

        Requests(CopyingServer server) {
            this.server = server;
        }

        /** Sends a request and returns how it ended. */
        ForwardOutcome send(RecordingExchange exchange) throws InterruptedException {
            QueueingEventSink events = QueueingEventSink.create();
            ForwardEffect.StartForward start = new ForwardEffect.StartForward(
                    1,
                    1,
                    ServerId.of("i-1"),
                    1,
                    server.address(),
                    System.nanoTime() + 5_000_000_000L,
                    Optional.empty(),
                    0,
                    false);
            ForwardAttempt.create(
                            client, ForwardTestDialect.DIALECT, Clock.system(), start, exchange, events, ended -> {})
                    .send();
            while (true) {
                Event event = events.poll(20_000);
                assertNotNull(event, "the attempt did not end");
                if (event instanceof ForwardEvent.ForwardEnded ended) {
                    return ended.outcome();
                }
            }
        }
    }

    @Nested
    class SecondCopies {
        @ParameterizedTest
        @MethodSource("org.plantainwharf.backend.ReusedConnectionTest#copies")
        void neverReachTheNextCaller(Moment moment, Framing framing) throws Exception {
            try (CopyingServer server = new CopyingServer(moment, framing)) {
                Requests requests = new Requests(server);
                RecordingExchange first = RecordingExchange.create("r-1");
                requests.send(first);
                assertTrue(first.received().contains("body-of-r-1"), first.received());
                assertTrue(server.firstAnswered.await(10, TimeUnit.SECONDS));
                int attempts = 0;
                RecordingExchange second;
                ForwardOutcome outcome;
                do {
                    second = RecordingExchange.create("r-2");
                    int before = server.received.size();
                    outcome = requests.send(second);
                    attempts++;
                    assertFalse(second.received().contains("body-of-r-1"), "the next caller got " + second.received());
                    if (outcome instanceof ForwardOutcome.Refused || outcome instanceof ForwardOutcome.NotSent) {
                        assertEquals(before, server.received.size(), "the request reached the server: " + outcome);
                    }
                } while (!(outcome instanceof ForwardOutcome.Completed) && attempts < 3);
                assertTrue(second.received().contains("body-of-r-2"), outcome + ": " + second.received());
                assertTrue(attempts <= 2, "the connection was used again " + attempts + " times");
            }
        }
    }
}
