package org.plantainwharf.front;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

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
