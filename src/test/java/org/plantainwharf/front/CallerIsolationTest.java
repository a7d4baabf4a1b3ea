package org.plantainwharf.front;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against anything of one caller's exchange that reaches another one, and against headers that nobody sent. */
@Timeout(60)
class CallerIsolationTest {
    private static RawCaller.Answer ask(ForwardingRelay relay, String headerLines) throws Exception {
        try (RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
            caller.send(RawCaller.Connection.KEPT, "/x", "a.example", "X-Id: r-1\r\n" + headerLines);
            return caller.receive();
        }
    }

    private static List<String> linesOf(List<String> head, String name) {
        return head.stream().filter(line -> line.startsWith(name + ":")).toList();
    }

    @Nested
    class Cookies {
        private static final String SET_COOKIE = "Set-Cookie: session=of-the-first; Path=/; Max-Age=3600\r\n";

        /** A server that knows its users by cookies answered one caller as another. */
        @Test
        void ofOneCallerAreNotSentWithRequestsOfAnother() throws Exception {
            try (RecordingServer server = RecordingServer.start(SET_COOKIE);
                    ForwardingRelay relay = ForwardingRelay.start(server.address(), false)) {
                ask(relay, "");
                assertEquals(List.of(), linesOf(server.nextHead(), "cookie"));
                ask(relay, "");
                assertEquals(List.of(), linesOf(server.nextHead(), "cookie"));
                ask(relay, "Cookie: session=of-the-second\r\n");
                assertEquals(List.of("cookie: session=of-the-second"), linesOf(server.nextHead(), "cookie"));
            }
        }

        @Test
        void ofAServerReachTheirCallerUnchanged() throws Exception {
            try (RecordingServer server = RecordingServer.start(SET_COOKIE);
                    ForwardingRelay relay = ForwardingRelay.start(server.address(), false)) {
                assertEquals(
                        "session=of-the-first; Path=/; Max-Age=3600",
                        ask(relay, "").headers().get("set-cookie"));
            }
        }
    }

    @Nested
    class Credentials {
        private static final String CHALLENGE = "WWW-Authenticate: Basic realm=\"a\"\r\n"
                + "Authentication-Info: nextnonce=\"n\"\r\nLocation: http://127.0.0.1:1/elsewhere\r\n";

        /** Neither the key of a caller nor anything that a server asks for is kept and sent with other requests. */
        @Test
        void areNotSentWithOtherRequests() throws Exception {
            try (RecordingServer server = RecordingServer.start(CHALLENGE);
                    ForwardingRelay relay = ForwardingRelay.start(server.address(), false)) {
                ask(relay, "Authorization: Token key-of-the-first\r\n");
                assertEquals(List.of(), linesOf(server.nextHead(), "authorization"));
                ask(relay, "");
                List<String> head = server.nextHead();
                assertEquals(List.of(), linesOf(head, "authorization"));
                assertEquals(List.of(), linesOf(head, "proxy-authorization"));
            }
        }
    }

    @Nested
    class Requests {
        /** What the HTTP client adds by itself would be taken for the caller's wish. */
        @Test
        void reachTheServerWithTheHeadersOfTheirCallers() throws Exception {
            try (RecordingServer server = RecordingServer.start("");
                    ForwardingRelay relay = ForwardingRelay.start(server.address(), false);
                    RawCaller caller = RawCaller.connect("127.0.0.1", relay.port())) {
                caller.post(RawCaller.Connection.KEPT, "/x", "X-Id: r-1\r\nX-Own: v\r\n", "body");
                assertEquals(200, caller.receive().status());
                List<String> names = server.nextHead().stream()
                        .skip(1)
                        .map(line -> line.substring(0, line.indexOf(':')))
                        .sorted()
                        .toList();
                assertEquals(List.of("content-length", "host", "x-deadline", "x-id", "x-own", "x-server"), names);
            }
        }

        /** An encoded body would be decoded, and then be another one than its server sealed. */
        @Test
        void doNotAskForEncodedBodiesByThemselves() throws Exception {
            try (RecordingServer server = RecordingServer.start("");
                    ForwardingRelay relay = ForwardingRelay.start(server.address(), false)) {
                ask(relay, "Accept-Encoding: br\r\n");
                assertEquals(List.of("accept-encoding: br"), linesOf(server.nextHead(), "accept-encoding"));
                ask(relay, "");
                assertTrue(linesOf(server.nextHead(), "accept-encoding").isEmpty());
            }
        }
    }
}
