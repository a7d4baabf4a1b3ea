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

    /** An operator must see how a rollout moved, and in which phase the daemons were that a request went through. */
    @Nested
    class Rollouts {
        private List<Path> filesWithRollouts() throws IOException {
            Path first = Files.writeString(folder.resolve("edge-1.log"), """
                    {"ms":1000,"host":"edge-1","event":"rollout_phase","service":"old","number":1,"phase":"completed"}
                    {"ms":1100,"host":"edge-1","event":"rollout_phase","service":"s","number":1,"phase":"observing"}
                    {"ms":2000,"host":"edge-1","event":"attempt_started","request":"r-1","server":"i-1"}
                    {"ms":2020,"host":"edge-1","event":"rollout_phase","service":"s","number":1,"phase":"rolled_back"}
                    {"ms":2040,"host":"edge-1","event":"request_failed","request":"r-1","kind":"server_failed"}
                    {"ms":2050,"host":"edge-1","event":"rollout_phase","service":"s","number":2,"phase":"observing"}
                    """);
            Path second = Files.writeString(folder.resolve("core-1.log"), """
                    {"ms":1090,"host":"core-1","event":"rollout_ordered","service":"s","target":"v2"}
                    {"ms":2010,"host":"core-1","event":"rollout_phase","service":"s","number":1,"phase":"rolled_back"}
                    {"ms":2030,"host":"core-1","event":"attempt_started","service":"s","request":"r-2"}
                    """);
            return List.of(first, second);
        }

        @Test
        void ofAServiceAreTracedOverAllDaemons() throws IOException {
            List<String> lines = LogTrace.traceRollouts(filesWithRollouts(), "s")
                    .get()
                    .lines()
                    .toList();
            assertEquals(5, lines.size());
            assertTrue(lines.get(0).contains("rollout_ordered") && lines.get(0).contains("target=v2"), lines.get(0));
            assertTrue(lines.get(2).contains("core-1") && lines.get(2).contains("phase=rolled_back"), lines.get(2));
        }

        @Test
        void ofAnotherServiceAreNotFound() throws IOException {
            assertTrue(
                    LogTrace.traceRollouts(filesWithRollouts(), "t").getLeft().contains("service t"));
        }

        @Test
        void ofTheDaemonsOfARequestAreShownWithIt() throws IOException {
            List<String> lines = LogTrace.traceRequest(filesWithRollouts(), "r-1")
                    .get()
                    .lines()
                    .toList();
            assertEquals(4, lines.size(), lines::toString);
            assertTrue(lines.get(0).contains("phase=observing"), lines.get(0));
            assertTrue(
                    lines.get(2).contains("phase=rolled_back") && lines.get(2).contains("edge-1"), lines.get(2));
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
