package org.plantainwharf.front;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.plantainwharf.document.CallerBounds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against wrong or unexplained answers to messages that were not read completely. */
@Timeout(60)
class MessageFailureTest {
    /** Where nothing listens; no request of these tests is passed on. */
    private static final String NO_SERVER = "127.0.0.1:1";

    private static final String HEAD = "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Id: r-1\r\n";

    private static RawCaller.Answer answer(ForwardingRelay relay, String text) throws Exception {
        try (RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
            caller.sendText(text);
            return caller.receive();
        }
    }

    private static final int CALLERS = 8;

    /** Sends a part of a request from several callers, stops the listener and returns what they receive. */
    private static List<RawCaller.Answer> answersAtStop(ForwardingRelay relay, String part, long requests)
            throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        List<RawCaller.Answer> answers = new ArrayList<>();
        for (int index = 0; index < CALLERS; index++) {
            RawCaller caller = RawCaller.connect("127.0.0.1", relay.port());
            callers.add(caller);
            caller.sendText(part);
        }
        while (relay.counter("front.requests") < requests) {
            Thread.sleep(1);
        }
        relay.stopListening();
        for (RawCaller caller : callers) {
            answers.add(caller.receive());
            caller.close();
        }
        return answers;
    }

    /** A caller got 400, or 500 with an unknown outcome, for a head that this side had not read to its end. */
    @Nested
    class HeadsThatDoNotArrive {
        private static final String FIRST = HEAD + "Content-Length: 1\r\n\r\na";

        /** Returns whether an answer is a truthful refusal, or the connection was closed without one. */
        private static boolean isTruthful(RawCaller.Answer received) {
            return received.status() == 0
                    || received.status() == 503
                            && received.body().contains("\"code\":\"request_not_received\"")
                            && received.body().contains("\"retry\":true")
                            && "no".equals(received.headers().get("x-ran"));
        }

        private static void awaitLine(ForwardingRelay relay, String text) throws InterruptedException {
            while (relay.lines("library_answer").isEmpty()) {
                Thread.sleep(1);
            }
            String line = relay.lines("library_answer").getFirst();
            assertTrue(line.contains(text), line);
        }

        @ParameterizedTest
        @ValueSource(strings = {"PO", "POST /x HT", "POST /x HTTP/1.1\r\nHo", HEAD, HEAD + "Content-Length: 1\r\n\r"})
        void areNoFaultOfTheirCallersAtAStop(String part) throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                List<RawCaller> callers = new ArrayList<>();
                for (int index = 0; index < CALLERS; index++) {
                    RawCaller caller = RawCaller.connect("127.0.0.1", relay.port());
                    callers.add(caller);
                    // The part arrives with the request before it, so that it has been read once that is answered.
                    caller.sendText(FIRST + part);
                    assertEquals(503, caller.receive().status());
                }
                relay.stopListening();
                for (RawCaller caller : callers) {
                    RawCaller.Answer received = caller.receive();
                    assertTrue(isTruthful(received), received.toString());
                    caller.close();
                }
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"PO", "POST /x HT", "POST /x HTTP/1.1\r\nHo", HEAD, HEAD + "Content-Length: 1\r\n\r"})
        void areNoFaultOfTheRequestIfItsConnectionEnds(String part) throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                for (int index = 0; index < CALLERS; index++) {
                    try (RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
                        caller.sendText(part);
                        caller.endOutput();
                        RawCaller.Answer received = caller.receive();
                        assertTrue(isTruthful(received), received.toString());
                    }
                }
                awaitLine(relay, "library_status, 400, status, 503, kind, request_not_received");
            }
        }

        @Test
        void areNoFaultOfTheirCallersAfterTheIdleTime() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                relay.apply(new CallerBounds(4_096, 4_096, 3_000, 50));
                RawCaller.Answer received = answer(relay, HEAD);
                assertTrue(isTruthful(received), received.toString());
                awaitLine(relay, "status, 503, kind, request_not_received");
            }
        }

        /** An ordinary head on a slow connection. */
        @Test
        void butComeInManyPiecesAreRead() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false);
                    RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
                for (char letter : ("\r\n" + FIRST).toCharArray()) {
                    caller.sendText(String.valueOf(letter));
                    Thread.sleep(1);
                }
                RawCaller.Answer received = caller.receive();
                assertTrue(received.body().contains("no_server_available"), received.toString());
            }
        }
    }

    /** A caller must not repeat a request after 400, although it would succeed at the next daemon. */
    @Nested
    class BodiesThatDoNotArrive {
        /**
         * A stop can fail the permission that the HTTP library sends when the body is first asked for. That was answered 500
         * as if the request might have run. It takes many stops to meet.
         */
        @Test
        void areNotSaidToHaveRunIfTheyWaitForPermission() throws Exception {
            for (int stop = 0; stop < 150; stop++) {
                try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                    String head = HEAD + "Content-Length: 10\r\nExpect: 100-continue\r\n\r\n";
                    for (RawCaller.Answer received : answersAtStop(relay, head, CALLERS)) {
                        assertTrue(List.of(0, 503).contains(received.status()), "stop " + stop + ": " + received);
                    }
                }
            }
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 10\r\n\r\nabc",
                    "Content-Length: 10\r\n\r\n",
                    "Content-Length: 10\r\nConnection: close\r\n\r\nabc",
                    "Content-Length: 10\r\nExpect: 100-continue\r\n\r\n",
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nab"
                })
        void areNoFaultOfTheirCallersAtAStop(String rest) throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                for (RawCaller.Answer received : answersAtStop(relay, HEAD + rest, CALLERS)) {
                    // A close without an answer blames nobody.
                    assertTrue(List.of(0, 503).contains(received.status()), received.toString());
                    assertTrue(
                            received.status() != 503
                                    || received.body().contains("\"code\":\"request_not_received\"")
                                            && received.body().contains("\"ran\":\"no\",\"retry\":true"),
                            received.toString());
                }
            }
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Content-Length: 10\r\n\r\nabc",
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                    "Transfer-Encoding: chunked\r\n\r\n3\r\nab"
                })
        void areNoFaultOfTheRequestIfItsConnectionEnds(String rest) throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false);
                    RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
                caller.sendText(HEAD + rest);
                caller.endOutput();
                RawCaller.Answer received = caller.receive();
                assertEquals(503, received.status(), received.toString());
                assertTrue(received.body().contains("\"code\":\"request_not_received\""), received.toString());
            }
        }

        @Test
        void areTimedOutAfterTheIdleTime() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                relay.apply(new CallerBounds(4_096, 4_096, 3_000, 100));
                assertEquals(
                        408,
                        answer(relay, HEAD + "Content-Length: 10\r\n\r\nabc").status());
            }
        }

        /** The other direction: a body that can never be read is the fault of its caller. */
        @Test
        void areWrongIfTheirBytesAreMalformed() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                RawCaller.Answer received = answer(relay, HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nx\r\n");
                assertEquals(400, received.status(), received.toString());
            }
        }
    }

    /** A caller was refused as wrong for a size that the service document allows. */
    @Nested
    class Sizes {
        private static final String LONG_HEAD = HEAD + "X-Long: " + "a".repeat(6_000) + "\r\n\r\n";
        private static final String LONG_TARGET = "GET /" + "a".repeat(6_000) + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
        private static final String LARGE_BODY = HEAD + "Content-Length: 5000000\r\n\r\n";

        @Test
        void areJudgedByTheDocument() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                relay.apply(new CallerBounds(16_384, 4_096, 3_000, 15_000));
                assertEquals(503, answer(relay, LONG_HEAD).status());
                assertEquals(503, answer(relay, LONG_TARGET).status());
            }
        }

        @Test
        void areRefusedAboveTheLimit() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                relay.apply(new CallerBounds(4_096, 4_096, 3_000, 15_000));
                assertEquals(431, answer(relay, LONG_HEAD).status());
                assertEquals(431, answer(relay, LONG_TARGET).status());
                assertEquals(413, answer(relay, LARGE_BODY).status());
            }
        }

        /** An open connection keeps its limit; callers got 431 for heads that the document allows. */
        @Test
        void areNotWrongOnAConnectionWithAFormerLimit() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false);
                    RawCaller first = RawCaller.connect("127.0.0.1", relay.port());
                    RawCaller second = RawCaller.connect("127.0.0.1", relay.port())) {
                for (RawCaller caller : List.of(first, second)) {
                    caller.sendText(HEAD + "Content-Length: 1\r\n\r\na");
                    assertEquals(503, caller.receive().status());
                }
                relay.apply(new CallerBounds(16_384, 4_096, 3_000, 15_000));
                first.sendText(LONG_HEAD);
                second.sendText(LONG_TARGET);
                for (RawCaller caller : List.of(first, second)) {
                    RawCaller.Answer received = caller.receive();
                    assertEquals(503, received.status(), received.toString());
                    assertTrue(received.body().contains("\"ran\":\"no\",\"retry\":true"), received.toString());
                    // The caller repeats the request on a new connection, which has the present limit.
                    assertEquals(0, caller.receive().status());
                }
            }
        }

        /** The limits are not known yet, so that nothing can be too large. */
        @Test
        void areNotWrongBeforeTheFirstDocument() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                for (String text : List.of(LONG_HEAD, LONG_TARGET, LARGE_BODY)) {
                    RawCaller.Answer received = answer(relay, text);
                    assertEquals(503, received.status(), received.toString());
                    assertTrue(received.body().contains("\"code\":\"configuration_missing\""), received.toString());
                }
            }
        }
    }

    /** Bytes of one message must not be taken for a part of another one of the connection. */
    @Nested
    class KeptConnections {
        private static final String SMALL = HEAD + "Content-Length: 1\r\n\r\na";

        @ParameterizedTest
        @ValueSource(strings = {"", "\r\n", "\r\n\r\n"})
        void answerRequestsThatAreSentAtOnce(String between) throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false);
                    RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
                caller.sendText(SMALL + between + SMALL + between + SMALL);
                for (int index = 0; index < 3; index++) {
                    RawCaller.Answer received = caller.receive();
                    assertTrue(received.body().contains("no_server_available"), received.toString());
                }
            }
        }

        /** After a refusal that came before the body, the next request could be read as a part of that body. */
        @ParameterizedTest
        @ValueSource(strings = {"", "Expect: 100-continue\r\n"})
        void endWithARefusalBeforeTheBody(String header) throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false);
                    RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
                relay.apply(new CallerBounds(4_096, 4_096, 3_000, 200));
                caller.sendText(HEAD + header + "Content-Length: 5000\r\n\r\n");
                RawCaller.Answer refusal = caller.receive();
                assertEquals(413, refusal.status());
                assertEquals("close", refusal.headers().get("connection"));
                assertEquals(0, caller.receive().status());
            }
        }

        /** Bytes after the declared body are no request; they must not touch the answer before them. */
        @Test
        void refuseExcessBytesAfterTheAnswer() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false);
                    RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
                caller.sendText(SMALL + "bcd\r\n");
                assertEquals(503, caller.receive().status());
                assertEquals(400, caller.receive().status());
            }
        }

        @Test
        void endWithoutAnAnswerAfterTheIdleTime() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                relay.apply(new CallerBounds(4_096, 4_096, 3_000, 50));
                try (RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
                    caller.sendText(SMALL);
                    assertEquals(503, caller.receive().status());
                    assertEquals(0, caller.receive().status());
                }
                assertEquals(List.of(), relay.lines("library_answer"));
            }
        }
    }

    /** Callers got statuses of which no log told. */
    @Nested
    class LogLines {
        @Test
        void tellOfAnswersOfTheHttpLibrary() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                RawCaller.Answer received = answer(relay, "PO\0ST /x HTTP/1.1\r\nHost: a.example\r\n\r\n");
                assertEquals(400, received.status());
                String line = relay.lines("library_answer").getFirst();
                assertTrue(
                        line.contains("listener, callers")
                                && line.contains(
                                        "answer_id, " + received.headers().get("x-request-id"))
                                && line.contains("library_status, 400, status, 400, kind, request_invalid")
                                && line.contains("cause, IllegalCharacterException: 400: Illegal character")
                                && line.contains("head_complete, false, body_bytes, 0"),
                        line);
                assertEquals(1, relay.counter("front.library_answers"));
                assertEquals(1, relay.counter("front.library_answers.request_invalid"));
                assertEquals(1, relay.counter("errors.request_invalid"));
            }
        }

        /** The request id is known although the library answers; control characters must not reach the log. */
        @Test
        void nameTheRequestIfItsHeadWasRead() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                assertEquals(
                        400,
                        answer(relay, HEAD + "Expect: a\tb\r\nContent-Length: 1\r\n\r\na")
                                .status());
                String line = relay.lines("library_answer").getFirst();
                assertTrue(line.contains("request, r-1") && line.contains("head_complete, true"), line);
                assertTrue(line.contains("library_status, 417, status, 400"), line);
            }
        }

        @Test
        void tellWhyABodyCouldNotBeRead() throws Exception {
            try (ForwardingRelay relay = ForwardingRelay.start(NO_SERVER, false)) {
                answer(relay, HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nx\r\n");
                String line = relay.lines("request_refused").getFirst();
                assertTrue(line.contains("request, r-1") && line.contains("cause, HttpEofException"), line);
                assertTrue(line.contains("body_bytes, 3"), line);
            }
        }
    }
}
