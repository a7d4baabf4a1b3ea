package org.plantainwharf.backend;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.control.Clock;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against answers through another entry daemon that are cut, not a server's, or falsely said not to have run. */
@Timeout(30)
class HandoverAttemptTest {
    private static final String SEALED = "X-Id: r-1\r\nX-Seal: s\r\n";

    private final HttpClient client = HttpClients.start("test", 8, 4_000);
    private final QueueingEventSink events = QueueingEventSink.create();
    private final RecordingExchange exchange = RecordingExchange.withBody("r-1", 5);
    private final AtomicReference<ScriptedServer.ReceivedRequest> received = new AtomicReference<>();

    @AfterEach
    void stopClient() throws Exception {
        client.stop();
    }

    private HandoverAttempt attempt(String address) {
        ForwardEffect.HandOver order =
                new ForwardEffect.HandOver(1, 1, address, System.nanoTime() + TimeUnit.SECONDS.toNanos(5));
        return HandoverAttempt.create(
                client, ForwardTestDialect.DIALECT, Clock.system(), order, exchange, events, ended -> {});
    }

    private ForwardOutcome outcome(String response) throws Exception {
        try (ScriptedServer daemon = ScriptedServer.start((request, out) -> {
            received.set(request);
            write(out, response);
            return false;
        })) {
            attempt(daemon.address()).send();
            return awaitEnd();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private ForwardOutcome awaitEnd() throws InterruptedException {
        while (true) {
            Event event = events.poll(20_000);
            assertNotNull(event, "the attempt did not end");
            if (event instanceof ForwardEvent.ForwardEnded ended) {
                return ended.outcome();
            }
        }
    }

    @Nested
    class Requests {
        @Test
        void tellTheOtherDaemonThatTheyWereHandedOverAndHowMuchTimeIsLeft() throws Exception {
            outcome("HTTP/1.1 200 OK\r\n" + SEALED + "Content-Length: 2\r\n\r\nab");
            ScriptedServer.ReceivedRequest request = Objects.requireNonNull(received.get());
            assertEquals("1", request.header("X-Handed-Over"));
            long left = Long.parseLong(request.header("X-Deadline"));
            assertTrue(left > 3_000 && left <= 5_000, "left " + left);
            assertEquals("", request.header("X-Server"));
            assertEquals(5, request.body().length());
        }
    }

    @Nested
    class Answers {
        @Test
        void ofAServerArePassedOnWhole() throws Exception {
            ForwardOutcome outcome = outcome("HTTP/1.1 200 OK\r\n" + SEALED + "Content-Length: 2\r\n\r\nab");
            assertInstanceOf(ForwardOutcome.Completed.class, outcome);
            assertEquals("ab", exchange.received());
            assertTrue(exchange.isComplete());
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 5\r\n\r\nab",
                    "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
                    "Connection: close\r\n\r\nab"
                })
        void thatBreakOffAreNotCompleted(String rest) throws Exception {
            ForwardOutcome outcome = outcome("HTTP/1.1 200 OK\r\n" + SEALED + rest);
            assertTrue(assertInstanceOf(ForwardOutcome.Broken.class, outcome).begun());
            assertFalse(exchange.isComplete());
        }

        @ParameterizedTest
        @ValueSource(strings = {"X-Id: r-1\r\n", "X-Id: r-2\r\nX-Seal: s\r\n", "X-Seal: s\r\n"})
        void thatNoServerMadeForThisRequestAreNotPassedOn(String head) throws Exception {
            ForwardOutcome outcome = outcome("HTTP/1.1 200 OK\r\n" + head + "Content-Length: 2\r\n\r\nab");
            assertFalse(assertInstanceOf(ForwardOutcome.Broken.class, outcome).begun());
            assertEquals("", exchange.received());
        }
    }

    @Nested
    class Failures {
        @ParameterizedTest
        @ValueSource(ints = {408, 421, 429, 503})
        void ofTheDaemonItselfThatPromiseAreRefusals(int status) throws Exception {
            ForwardOutcome outcome = outcome("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
            assertEquals(
                    status,
                    assertInstanceOf(ForwardOutcome.Refused.class, outcome).httpStatus());
        }

        /** A server's status says nothing of whether the request has run. */
        @Test
        void ofAServerAreNoPromise() throws Exception {
            ForwardOutcome outcome = outcome("HTTP/1.1 503 X\r\n" + SEALED + "Content-Length: 0\r\n\r\n");
            assertInstanceOf(ForwardOutcome.Failed.class, outcome);
            assertEquals(503, exchange.failureStatus());
        }

        @ParameterizedTest
        @ValueSource(ints = {401, 500, 502, 504})
        void thatPromiseNothingArePassedOn(int status) throws Exception {
            ForwardOutcome outcome = outcome("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
            assertInstanceOf(ForwardOutcome.Failed.class, outcome);
            assertEquals(status, exchange.failureStatus());
        }

        /** The other daemon may have passed the request on before its connection broke. */
        @Test
        void withoutAnyAnswerLeaveTheOutcomeUnknown() throws Exception {
            assertFalse(
                    assertInstanceOf(ForwardOutcome.Broken.class, outcome("")).begun());
        }

        @Test
        void toConnectAreKnownNotToHaveRun() throws Exception {
            String address;
            try (ScriptedServer daemon = ScriptedServer.start((request, out) -> false)) {
                address = daemon.address();
            }
            attempt(address).send();
            assertInstanceOf(ForwardOutcome.NotSent.class, awaitEnd());
        }
    }

    @Nested
    class CallersThatLeave {
        /** The other daemon stops the server's work when this connection closes. */
        @Test
        void closeTheConnectionToTheOtherDaemon() throws Exception {
            CountDownLatch closed = new CountDownLatch(1);
            CountDownLatch arrived = new CountDownLatch(1);
            try (ScriptedServer daemon = ScriptedServer.start((request, out) -> {
                arrived.countDown();
                try {
                    while (true) {
                        write(out, "HTTP/1.1 100 Continue\r\n\r\n");
                        Thread.sleep(20);
                    }
                } catch (IOException e) {
                    closed.countDown();
                    return false;
                }
            })) {
                HandoverAttempt attempt = attempt(daemon.address());
                attempt.send();
                assertTrue(arrived.await(10, TimeUnit.SECONDS));
                attempt.cancel();
                assertInstanceOf(ForwardOutcome.Cancelled.class, awaitEnd());
                assertTrue(closed.await(10, TimeUnit.SECONDS), "the connection stayed open");
            }
        }
    }
}
