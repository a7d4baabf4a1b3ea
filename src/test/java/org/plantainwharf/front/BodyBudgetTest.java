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
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
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
import org.plantainwharf.control.Clock;
import org.plantainwharf.error.Failure;
import org.plantainwharf.metric.Telemetry;
import org.plantainwharf.testing.Samples;
import org.plantainwharf.testing.TestProcesses;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against bodies that together exhaust the memory of a daemon. */
@Timeout(60)
class BodyBudgetTest {
    private static final int MEBIBYTE = 1 << 20;
    private static final int CAPACITY_BYTES = 8 * MEBIBYTE;

    private final AtomicLong nowNanos = new AtomicLong();

    private final Clock clock = new Clock() {
        @Override
        public long nowNanos() {
            return nowNanos.get();
        }

        @Override
        public long wallClockMillis() {
            return 0;
        }
    };

    private final BodyBudget budget = BodyBudget.ofBytes(clock, CAPACITY_BYTES);

    @Nested
    class Reservations {
        @Test
        void doNotExceedTheCapacity() {
            assertTrue(budget.tryReserve(5 * MEBIBYTE, 5 * MEBIBYTE));
            assertFalse(budget.tryReserve(2 * MEBIBYTE, 2 * MEBIBYTE));
            budget.release(5 * MEBIBYTE);
            assertTrue(budget.tryReserve(2 * MEBIBYTE, 2 * MEBIBYTE));
        }

        /** A few large bodies must not keep out requests of the usual size. */
        @Test
        void ofLargeBodiesLeaveRoomForSmallOnes() {
            while (budget.tryReserve(MEBIBYTE, MEBIBYTE)) {
                assertTrue(budget.reservedBytes() <= CAPACITY_BYTES);
            }
            for (int body = 0; body < 60; body++) {
                assertTrue(budget.tryReserve(24_000, 24_000), "body " + body);
            }
        }
    }

    @Nested
    class TimesToReturn {
        /** Callers who are told the same time return in the same moment. */
        @Test
        void followEachOther() {
            List<Duration> times = new ArrayList<>();
            for (int caller = 0; caller < 20; caller++) {
                times.add(budget.nextRetryAfter(MEBIBYTE));
            }
            assertEquals(Duration.ofMillis(500), times.getFirst());
            assertEquals(Duration.ofMillis(125), times.get(10).minus(times.get(9)));
            assertTrue(times.stream().allMatch(time -> time.compareTo(Duration.ofSeconds(4)) <= 0));
        }

        @Test
        void areShortAgainAfterTheBurst() {
            for (int caller = 0; caller < 20; caller++) {
                budget.nextRetryAfter(MEBIBYTE);
            }
            nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(5));
            assertEquals(Duration.ofMillis(500), budget.nextRetryAfter(MEBIBYTE));
        }
    }

    /** Requests to a listener that reads their bodies and leaves them open until {@link #answerAll}. */
    @Nested
    class Requests {
        private final Queue<Callback> open = new ConcurrentLinkedQueue<>();
        private final Queue<Failure> failures = new ConcurrentLinkedQueue<>();
        private final List<Socket> clients = new ArrayList<>();
        private @Nullable HttpListener listener;

        private final class BodyHandler extends Handler.Abstract {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                RequestReader.readBody(request, 4 * MEBIBYTE, budget, read -> read.peek(body -> {
                            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
                            open.add(callback);
                        })
                        .peekLeft(failure -> {
                            failures.add(failure);
                            response.setStatus(failure.kind().httpStatus());
                            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, 0);
                            response.write(true, ByteBuffer.allocate(0), callback);
                        }));
                return true;
            }
        }

        private Socket connect() throws IOException {
            HttpListener started = listener;
            if (started == null) {
                started = HttpListener.create(
                        "test",
                        "127.0.0.1:0",
                        false,
                        Samples.settings("core-1").bounds(),
                        new BodyHandler(),
                        LibraryAnswers.create("test", new Telemetry(new MetricRegistry(), (event, fields) -> {})));
                started.start();
                listener = started;
            }
            Socket client = new Socket(InetAddress.getLoopbackAddress(), started.port());
            clients.add(client);
            return client;
        }

        private Socket send(String headers, byte[] body) throws IOException {
            Socket client = connect();
            OutputStream output = client.getOutputStream();
            output.write(
                    ("POST /x HTTP/1.1\r\nHost: a.example\r\n" + headers + "\r\n").getBytes(StandardCharsets.US_ASCII));
            output.write(body);
            output.flush();
            return client;
        }

        private Socket sendWithLength(int length) throws IOException {
            return send("Content-Length: " + length + "\r\n", new byte[length]);
        }

        private static String status(Socket client) throws IOException {
            InputStream input = client.getInputStream();
            return new String(input.readNBytes(12), StandardCharsets.US_ASCII).substring(9);
        }

        private void await(String what, java.util.function.BooleanSupplier condition) throws Exception {
            TestProcesses.await(what, Duration.ofSeconds(20), java.nio.file.Path.of("."), condition::getAsBoolean);
        }

        private void answerAll() {
            for (Callback callback = open.poll(); callback != null; callback = open.poll()) {
                callback.succeeded();
            }
        }

        @AfterEach
        void stop() throws Exception {
            answerAll();
            for (Socket client : clients) {
                client.close();
            }
            HttpListener started = listener;
            if (started != null) {
                started.stop();
            }
        }

        /** 120 bodies of 4 MB in four seconds exhausted the heap and the direct memory of an entry daemon. */
        @Test
        void beyondTheBudgetAreRefusedAsNotRunUntilOthersHaveEnded() throws Exception {
            for (int request = 0; request < 6; request++) {
                sendWithLength(MEBIBYTE);
            }
            await("six open requests", () -> open.size() == 6);
            Socket refused = sendWithLength(MEBIBYTE);
            assertEquals("503", status(refused));
            assertEquals("body_memory_full", failures.element().kind().code());
            assertTrue(failures.element().retryAfter().isPresent());
            answerAll();
            await("release of the memory", () -> budget.reservedBytes() == 0);
            sendWithLength(MEBIBYTE);
            await("one open request", () -> open.size() == 1);
        }

        /** A body that is refused for lack of memory was a proper one, so it must not be answered with a client error. */
        @Test
        void ofUnknownLengthReserveWhatHasArrived() throws Exception {
            byte[] chunk = new byte[64 << 10];
            StringBuilder text = new StringBuilder();
            for (int index = 0; index < 32; index++) {
                text.append("10000\r\n")
                        .append(new String(chunk, StandardCharsets.US_ASCII))
                        .append("\r\n");
            }
            byte[] body = (text + "0\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
            for (int request = 0; request < 3; request++) {
                send("Transfer-Encoding: chunked\r\n", body);
            }
            await("three open requests", () -> open.size() == 3);
            assertTrue(budget.reservedBytes() >= 6 * MEBIBYTE);
            assertEquals("503", status(send("Transfer-Encoding: chunked\r\n", body)));
            answerAll();
            await("release of the memory", () -> budget.reservedBytes() == 0);
        }

        /** A client that sends a byte now and then would hold its reservation for ever. */
        @Test
        void thatArriveTooSlowlyEnd() throws Exception {
            Socket client = send("Content-Length: 1000\r\n", new byte[10]);
            await("a reservation", () -> budget.reservedBytes() == 1_000);
            nowNanos.addAndGet(TimeUnit.SECONDS.toNanos(31));
            client.getOutputStream().write(1);
            assertEquals("408", status(client));
            await("release of the memory", () -> budget.reservedBytes() == 0);
        }

        @Test
        void whoseClientsLeaveReleaseTheirMemory() throws Exception {
            send("Content-Length: " + MEBIBYTE + "\r\n", new byte[10]).close();
            sendWithLength(MEBIBYTE).close();
            await("one open request", () -> open.size() == 1);
            answerAll();
            await("release of the memory", () -> budget.reservedBytes() == 0);
        }
    }

    /** Any order of reservations and releases keeps the sum within the capacity. */
    @Property(tries = 200)
    void neverExceedsItsCapacity(@ForAll @Size(max = 60) List<@IntRange(min = 1, max = 4 * MEBIBYTE) Integer> bodies) {
        BodyBudget tested = BodyBudget.ofBytes(clock, CAPACITY_BYTES);
        List<Integer> reserved = new ArrayList<>();
        for (int body : bodies) {
            if (tested.tryReserve(body, body)) {
                reserved.add(body);
            } else if (!reserved.isEmpty()) {
                tested.release(reserved.removeFirst());
            }
            assertTrue(tested.reservedBytes() <= CAPACITY_BYTES);
            assertEquals(reserved.stream().mapToLong(Integer::longValue).sum(), tested.reservedBytes());
        }
    }
}
