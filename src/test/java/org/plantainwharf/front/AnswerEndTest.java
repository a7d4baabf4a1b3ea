package org.plantainwharf.front;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers that end early and look complete to their callers. */
class AnswerEndTest {
    /** How the server marks the end of its answer. */
    enum ServerMarker {
        LENGTH,
        CHUNKS,
        CLOSE
    }

    /** What happens to an answer of which the caller has received a part. */
    enum Cut {
        /** The answer is sent whole. */
        NONE,
        SERVER_RESETS,
        /** The server closes its connection without the mark that it has declared. */
        SERVER_CLOSES,
        /** The server's process ends, and the operating system closes its sockets in order. */
        SERVER_DIES,
        DEADLINE,
        /** An event that is too long to be passed on; a body that is no stream of events may have any length. */
        PIECE_TOO_LONG,
        DAEMON_STOPS
    }

    /** A server that sends some events, and then waits until the cut is to happen. */
    private static final class CutServer implements AutoCloseable {
        private static final String EVENT = "id: %d\ndata: token %d of a stream\n\n";
        private static final int LARGEST_EVENT_BYTES = 2 << 20;

        private final ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        private final CountDownLatch partReceived = new CountDownLatch(1);
        private final ServerMarker marker;
        private final Cut cut;
        private final boolean eventStream;
        private final String whole;
        private final String firstPart;

        CutServer(ServerMarker marker, Cut cut, boolean eventStream, int events, int sentBytes) throws IOException {
            this.marker = marker;
            this.cut = cut;
            this.eventStream = eventStream;
            StringBuilder text = new StringBuilder();
            for (int event = 1; event <= events; event++) {
                text.append(EVENT.formatted(event, event));
            }
            this.whole = text.toString();
            this.firstPart = whole.substring(0, Math.min(sentBytes, whole.length() - 1));
            Thread thread = new Thread(this::serve, "cut-server");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serve() {
            try (Socket socket = listener.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                while (!in.readLine().isEmpty()) {
                    // Skips the head of the request.
                    continue;
                }
                answer(socket);
            } catch (IOException e) {
                // Expected: the daemon has closed the connection.
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void answer(Socket socket) throws IOException, InterruptedException {
            OutputStream out = socket.getOutputStream();
            String end =
                    switch (marker) {
                        case LENGTH -> "Content-Length: " + whole.length() + "\r\n";
                        case CHUNKS -> "Transfer-Encoding: chunked\r\n";
                        case CLOSE -> "Connection: close\r\n";
                    };
            write(
                    out,
                    "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Seal: s\r\nContent-Type: "
                            + (eventStream ? "text/event-stream" : "text/plain") + "\r\n" + end
                            + "\r\n");
            writePiece(out, firstPart);
            partReceived.await(10, TimeUnit.SECONDS);
            if (cut == Cut.NONE) {
                writePiece(out, whole.substring(firstPart.length()));
                if (marker == ServerMarker.CHUNKS) {
                    write(out, "0\r\n\r\n");
                }
            } else if (cut == Cut.SERVER_RESETS) {
                socket.setSoLinger(true, 0);
            } else if (cut == Cut.SERVER_DIES) {
                listener.close();
            } else if (cut == Cut.PIECE_TOO_LONG && eventStream) {
                writePiece(out, "x".repeat(LARGEST_EVENT_BYTES));
            }
            if (cut == Cut.PIECE_TOO_LONG || cut == Cut.DEADLINE || cut == Cut.DAEMON_STOPS) {
                // The connection stays open until the daemon closes it.
                socket.getInputStream().read();
            }
        }

        private void writePiece(OutputStream out, String text) throws IOException {
            if (!text.isEmpty()) {
                write(
                        out,
                        marker == ServerMarker.CHUNKS
                                ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"
                                : text);
            }
        }

        private static void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static RawCaller.Answer answer(CutServer server, RawCaller.Connection connection, boolean draining)
            throws Exception {
        try (ForwardingRelay relay = ForwardingRelay.start(server.address(), draining);
                RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
            caller.send(connection, "/x", "a.example", "X-Id: r-1\r\n");
            Thread cutter = new Thread(() -> cutOnceBegun(relay, server), "cutter");
            cutter.start();
            RawCaller.Answer received = caller.receive();
            cutter.join();
            return received;
        }
    }

    private static void cutOnceBegun(ForwardingRelay relay, CutServer server) {
        try {
            relay.awaitBegun();
            if (server.cut == Cut.DEADLINE || server.cut == Cut.PIECE_TOO_LONG && !server.eventStream) {
                relay.timeOut();
            } else if (server.cut == Cut.DAEMON_STOPS) {
                relay.stopListening();
            }
            server.partReceived.countDown();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Group
    @Label("Answers that are forwarded")
    class ForwardedAnswers {
        /** A caller whose connection was to be closed took streams for complete that their server had broken off. */
        @Property(tries = 200)
        void lookCompleteOnlyIfTheyAre(
                @ForAll ServerMarker marker,
                @ForAll Cut cut,
                @ForAll RawCaller.Connection connection,
                @ForAll boolean draining,
                @ForAll boolean eventStream,
                @ForAll @IntRange(min = 1, max = 12) int events,
                @ForAll @IntRange(max = 400) int sentBytes)
                throws Exception {
            try (CutServer server = new CutServer(marker, cut, eventStream, events, sentBytes)) {
                RawCaller.Answer received = answer(server, connection, draining);
                boolean success = received.status() == 200;
                // By RFC 9112 an orderly close is the end of a body without length and chunks.
                boolean endsLikeAWholeBody = marker == ServerMarker.CLOSE && cut == Cut.SERVER_CLOSES;
                if (cut == Cut.NONE) {
                    assertTrue(success && received.complete(), "a sound answer was broken off: " + received);
                    assertEquals(server.whole, received.body());
                } else if (success && received.complete() && !endsLikeAWholeBody) {
                    assertEquals(server.whole, received.body(), "looks complete: " + received);
                }
                assertFalse(
                        !success && received.headers().containsKey("x-seal"),
                        "a failure bears the server's seal: " + received);
            }
        }
    }
}
