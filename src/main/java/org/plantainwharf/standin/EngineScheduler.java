package org.plantainwharf.standin;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Runs requests of a stand-in engine in a bounded number of slots, higher priorities first. The runs belong to one
 * thread; the methods hand over to it and are thread-safe.
 */
final class EngineRuns {
    private final StandInHttp http;
    private final EngineCache cache;
    private final EngineSpeed speed;
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "engine"));
    private final Set<EngineRun> running = new HashSet<>();
    private final PriorityQueue<EngineRun> waiting = new PriorityQueue<>(
            Comparator.comparingInt(EngineRun::priority).reversed().thenComparingLong(EngineRun::order));
    private volatile int runningCount;
    private volatile int waitingCount;

    /**
     * Speed of an engine. Immutable.
     *
     * @param prefillTokensPerMilli prompt tokens computed in a millisecond
     */
    record EngineSpeed(int slots, long tokenMillis, int prefillTokensPerMilli) {}

    private EngineRuns(StandInHttp http, EngineCache cache, EngineSpeed speed) {
        this.http = http;
        this.cache = cache;
        this.speed = speed;
    }

    static EngineRuns create(StandInHttp http, EngineCache cache, EngineSpeed speed) {
        return new EngineRuns(http, cache, speed);
    }

    int runningCount() {
        return runningCount;
    }

    int waitingCount() {
        return waitingCount;
    }

    void submit(EngineRun run) {
        later(0, () -> {
            waiting.add(run);
            fillSlots();
        });
    }

    void cancel(String request, String attempt) {
        later(0, () -> {
            running.stream()
                    .filter(run ->
                            run.request().equals(request) && run.attempt().equals(attempt))
                    .toList()
                    .forEach(run -> {
                        end(run);
                        run.exchange().closeConnection();
                    });
            waiting.removeIf(
                    run -> run.request().equals(request) && run.attempt().equals(attempt));
            fillSlots();
        });
    }

    /** Answers with the load and whether a request still runs or waits. */
    void load(StandInExchange exchange) {
        String request = exchange.parameter("request");
        later(0, () -> {
            boolean still = running.stream().anyMatch(run -> run.request().equals(request))
                    || waiting.stream().anyMatch(run -> run.request().equals(request));
            exchange.reply(
                    200,
                    StandInExchange.object()
                            .put("running", running.size())
                            .put("queued", waiting.size())
                            .put("slots", speed.slots())
                            .put("request_running", still));
        });
    }

    void stop() {
        thread.shutdownNow();
    }

    private void later(long millis, Runnable task) {
        try {
            thread.schedule(task, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The engine is stopping; its connections are closed by the server.
            runningCount = 0;
        }
    }

    private void fillSlots() {
        while (running.size() < speed.slots() && !waiting.isEmpty()) {
            EngineRun run = waiting.remove();
            running.add(run);
            begin(run);
        }
        runningCount = running.size();
        waitingCount = waiting.size();
    }

    private void begin(EngineRun run) {
        int cachedTokens = cache.heldPrefix(run.blocks()) * 64;
        int computed = Math.max(0, run.promptTokens() - cachedTokens) + run.generated();
        cache.store(run.blocks());
        long late = http.fault() instanceof StandInFault.Late fault ? fault.millis() : 0;
        later(late + slowed(computed / speed.prefillTokensPerMilli()), () -> {
            if (!http.isSilenced(run.exchange())) {
                run.exchange().echo(run.crossed()).beginStream();
            }
            step(run);
        });
    }

    private long slowed(long millis) {
        return http.fault() instanceof StandInFault.Slow slow ? (long) (millis * slow.factor()) : millis;
    }

    private void step(EngineRun run) {
        if (run.ended()) {
            return;
        }
        if (http.isSilenced(run.exchange())) {
            boolean claims = http.fault() instanceof StandInFault.Silent silent && silent.claimsRunning();
            if (claims) {
                later(speed.tokenMillis() + 1, () -> step(run));
            } else {
                end(run);
            }
            return;
        }
        boolean cut = http.fault() instanceof StandInFault.Truncated && run.generated() >= run.maximumTokens() / 2;
        if (cut) {
            end(run);
            run.exchange().endStream();
        } else if (run.generated() >= run.maximumTokens()) {
            finish(run);
        } else {
            run.exchange()
                    .event(
                            chunk(run, run.nextToken(), ""),
                            () -> later(slowed(speed.tokenMillis()), () -> step(run)),
                            () -> later(0, () -> end(run)));
        }
    }

    private void finish(EngineRun run) {
        run.exchange()
                .event(
                        chunk(run, "", "stop"),
                        () -> run.exchange()
                                .event("[DONE]", () -> run.exchange().endStream(), () -> {}),
                        () -> {});
        end(run);
    }

    private void end(EngineRun run) {
        run.end();
        running.remove(run);
        fillSlots();
    }

    private static String chunk(EngineRun run, String text, String finishReason) {
        ObjectNode chunk = StandInExchange.object()
                .put("id", "run-" + run.order())
                .put("object", "chat.completion.chunk")
                .put("model", run.model());
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        ObjectNode delta = choice.putObject("delta");
        if (!text.isEmpty()) {
            delta.put("content", text);
        }
        if (finishReason.isEmpty()) {
            choice.putNull("finish_reason");
        } else {
            choice.put("finish_reason", finishReason);
        }
        return chunk.toString();
    }
}
