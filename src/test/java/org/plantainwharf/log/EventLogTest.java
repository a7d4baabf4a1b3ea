package org.plantainwharf.log;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.logging.JettyLogger;
import org.eclipse.jetty.logging.StdErrAppender;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.RequestId;
import org.slf4j.LoggerFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against log entries that cannot be parsed, span several lines, are unbounded or disclose a secret. */
class EventLogTest {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    @Nested
    class Format {
        @ParameterizedTest
        @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
                plain        | event=e name=plain
                two words    | event=e name="two words"
                a=b          | event=e name="a=b"
                say "hi"     | event=e name="say \\"hi\\""
                C:\\data     | event=e name="C:\\\\data"
                ``           | event=e name=""
                """)
        void quotesWhereNeeded(String value, String line) {
            assertEquals(line, EventLog.format("e", "name", value));
        }

        @Test
        void staysOneLineForAnyValue() {
            String line = EventLog.format("e", "name", "a\nb\rc\td\u0000e\u2028f\u0085g");
            assertEquals("event=e name=\"a\\nb\\rc\\td\\u0000e\\u2028f\\u0085g\"", line);
        }

        @Test
        void withholdsSecretsAndBodies() {
            String line = EventLog.format("e", "Authorization", "Bearer s3cret", "key", "s3cret", "body", "s3cret");
            assertFalse(line.contains("s3cret"), line);
        }

        @Test
        void boundsTheLengthOfValues() {
            assertTrue(EventLog.format("e", "name", "x".repeat(100_000)).length() < 1_000);
        }

        @Test
        void rejectsANameWithoutAValue() {
            assertThrows(IllegalArgumentException.class, () -> EventLog.format("e", "name"));
        }
    }

    @Nested
    class WrittenLog {
        private String written(Runnable events) {
            JettyLogger root = (JettyLogger) LoggerFactory.getLogger("org.plantainwharf.log.EventLogTest");
            StdErrAppender appender = (StdErrAppender) root.getAppender();
            PrintStream before = appender.getStream();
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            appender.setStream(new PrintStream(bytes, true, StandardCharsets.UTF_8));
            try {
                events.run();
            } finally {
                appender.setStream(before);
            }
            return bytes.toString(StandardCharsets.UTF_8);
        }

        @Test
        void hasOneLineForEachEvent() {
            EventLog log = EventLog.of(LOGGER);
            String text = written(() -> {
                log.info("started", "host", "a1");
                log.failure(
                        "call_refused",
                        RequestId.of("r-1"),
                        Failure.of(ErrorKind.ACCOUNT_LIMIT_EXCEEDED, "line\nbreak"));
                log.severe("write_failed", new IllegalStateException("disk\nfull"), "group", 1);
            });
            String[] lines = text.split("\n", -1);
            assertEquals(4, lines.length, text);
            assertTrue(lines[0].contains("event=started host=a1"), lines[0]);
            assertTrue(
                    lines[1].contains("event=call_refused request=r-1 kind=account_limit_exceeded ran=NO"), lines[1]);
            assertTrue(lines[2].contains("cause=\"java.lang.IllegalStateException: disk"), lines[2]);
            assertTrue(lines[3].isEmpty());
        }
    }
}
