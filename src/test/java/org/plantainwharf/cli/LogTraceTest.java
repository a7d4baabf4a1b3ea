package org.plantainwharf.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against log lines that are lost, misordered across daemons or miscounted, and against an abort on lines that are
 * truncated, prefixed by a log collector or not JSON.
 */
class LogTraceTest {
    @TempDir
    private Path folder;

    private List<Path> files() throws IOException {
        Path first = Files.writeString(folder.resolve("edge-1.log"), """
                {"ms":2000,"host":"edge-1","event":"attempt_started","request":"r-1","server":"i-1"}
                not json
                {"ms":2040,"host":"edge-1","event":"request_failed","request":"r-1","kind":"server_failed"}
                {"ms":2041,"host":"edge-1","event":"request_failed","request":"r-2","kind":"draining"}
                {"ms":2042,"host":"edge-1","event":"request_fai
                """);
        Path second = Files.writeString(folder.resolve("edge-2.log"), """
                 12.5 edge-2 {"ms":1990,"host":"edge-2","event":"request_refused","request":"r-1","kind":"draining"}
                {"ms":2050,"host":"edge-2","event":"stream_origin","request":"r-4","first_attempt":"r-3","version":"1.4"}
                """);
        return List.of(first, second);
    }

    @Nested
    class Requests {
        @Test
        void areTracedAcrossDaemonsInTimeOrder() throws IOException {
            List<String> lines =
                    LogTrace.traceRequest(files(), "r-1").get().lines().toList();
            assertEquals(3, lines.size());
            assertTrue(lines.get(0).contains("edge-2") && lines.get(0).contains("request_refused"), lines.get(0));
            assertTrue(lines.get(2).contains("+   50 ms") && lines.get(2).contains("kind=server_failed"), lines.get(2));
        }

        /** The id of a first attempt must lead to the requests that took its stream up, and the other way round. */
        @Test
        void thatTakeAStreamUpAreTracedFromEitherId() throws IOException {
            String fromFirst = LogTrace.traceRequest(files(), "r-3").get();
            assertTrue(fromFirst.contains("request=r-4") && fromFirst.contains("version=1.4"), fromFirst);
            String fromSecond = LogTrace.traceRequest(files(), "r-4").get();
            assertTrue(fromSecond.contains("first_attempt=r-3") && !fromSecond.contains("request="), fromSecond);
        }

        @Test
        void withoutMatchingLineAreReported() throws IOException {
            assertTrue(LogTrace.traceRequest(files(), "r-9").getLeft().contains("r-9"));
        }
    }

    @Nested
    class EventCounts {
        @Test
        void areGroupedByEventAndKind() throws IOException {
            String text = LogTrace.countEvents(files()).get();
            assertTrue(text.contains("1  request_failed server_failed"), text);
            assertTrue(text.contains("1  request_refused draining"), text);
        }
    }
}
