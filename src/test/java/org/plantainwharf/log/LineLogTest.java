package org.plantainwharf.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.plantainwharf.control.Clock;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against log lines that are not valid JSON, a frequent event that crowds out the others, and an output that
 * blocks the threads that log.
 */
class LineLogTest {
    private static final Clock FIXED_CLOCK = new Clock() {
        @Override
        public long nowNanos() {
            return 0;
        }

        @Override
        public long wallClockMillis() {
            return 5_000;
        }
    };

    @Nested
    class Lines {
        @Test
        void areJsonWithNumbersAsNumbers() throws InterruptedException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            LineLog log = LineLog.start(FIXED_CLOCK, new PrintStream(bytes, true, StandardCharsets.UTF_8), "edge-1");
            log.write("attempt_started", "request", "a\nb", "attempt", 2, "waited", 1.5, "begun", true);
            log.close();
            String first =
                    bytes.toString(StandardCharsets.UTF_8).lines().findFirst().orElseThrow();
            assertEquals(
                    "{\"ms\":5000,\"host\":\"edge-1\",\"event\":\"attempt_started\",\"request\":\"a\\nb\","
                            + "\"attempt\":2,\"waited\":1.5,\"begun\":true}",
                    first);
        }

        @Test
        void ofOneEventAreRateLimited() throws InterruptedException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            LineLog log = LineLog.start(FIXED_CLOCK, new PrintStream(bytes, true, StandardCharsets.UTF_8), "edge-1");
            for (int index = 0; index < 1_000; index++) {
                log.write("flood", "number", index);
            }
            log.write("other");
            log.close();
            String text = bytes.toString(StandardCharsets.UTF_8);
            assertEquals(
                    200, text.lines().filter(line -> line.contains("flood")).count());
            assertTrue(text.contains("\"other\""), "lines of one event must not displace those of another");
        }
    }

    /** A reader of the log that stops reading must not block traffic threads. */
    @Nested
    class BlockedOutput {
        @Test
        @Timeout(30)
        void dropsAndCountsLinesInsteadOfBlocking() throws InterruptedException {
            CountDownLatch release = new CountDownLatch(1);
            OutputStream blocked = new OutputStream() {
                @Override
                public void write(int value) {
                    await();
                }

                @Override
                public void write(byte[] bytes, int offset, int length) {
                    await();
                }

                private void await() {
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            };
            LineLog log = LineLog.start(FIXED_CLOCK, new PrintStream(blocked), "edge-1");
            for (int index = 0; index < 20_000; index++) {
                log.write("flood", "number", index);
            }
            assertTrue(log.dropped() > 0);
            release.countDown();
            log.close();
        }
    }
}
