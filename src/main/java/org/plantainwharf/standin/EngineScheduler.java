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
 * Runs the requests of a stand-in engine in a bounded number of slots, in order of priority and then of arrival. The
 * requests are confined to one executor thread; the package-private methods delegate to it and are thread-safe.
 */
final class EngineScheduler {
    private final StandInHttpServer http;
    private final EngineCache cache;
    private final EngineSpeed speed;
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "engine"));
    private final Set<EngineRequest> running = new HashSet<>();
    private final PriorityQueue<EngineRequest> waiting =
            new PriorityQueue<>(Comparator.comparingInt(EngineRequest::priority)
                    .reversed()
                    .thenComparingLong(EngineRequest::arrivalNumber));
    private volatile int runningCount;
    private volatile int waitingCount;

    /**
     * Capacity and speed of an engine. Immutable.
     *
     * @param slots maximum number of concurrent requests
     * @param tokenMillis time to generate one token
     * @param prefillTokensPerMilli prompt tokens processed per millisecond
     */
    record EngineSpeed(int slots, long tokenMillis, int prefillTokensPerMilli) {}

    private EngineScheduler(StandInHttpServer http, EngineCache cache, EngineSpeed speed) {
        this.http = http;
        this.cache = cache;
        this.speed = speed;
    }

    static EngineScheduler create(StandInHttpServer http, EngineCache cache, EngineSpeed speed) {
        return new EngineScheduler(http, cache, speed);
    }

    int runningCount() {
        return runningCount;
    }

    int waitingCount() {
        return waitingCount;
    }

    void submit(EngineRequest run) {
        schedule(0, () -> {
            waiting.add(run);
            fillSlots();
        });
    }

    void cancel(String request, String attempt) {
        schedule(0, () -> {
            running.stream()
                    .filter(run -> run.requestId().equals(request)
                            && run.attemptNumber().equals(attempt))
                    .toList()
                    .forEach(run -> {
                        end(run);
                        run.exchange().closeConnection();
                    });
            waiting.removeIf(run ->
                    run.requestId().equals(request) && run.attemptNumber().equals(attempt));
            fillSlots();
        });
    }

    /** Replies with the load and whether the request named in the query is running or waiting. */
    void load(StandInExchange exchange) {
        String request = exchange.parameter("request");
        schedule(0, () -> {
            boolean active = running.stream().anyMatch(run -> run.requestId().equals(request))
                    || waiting.stream().anyMatch(run -> run.requestId().equals(request));
            exchange.reply(
                    200,
                    StandInExchange.newObject()
                            .put("running", running.size())
                            .put("queued", waiting.size())
                            .put("slots", speed.slots())
                            .put("request_running", active));
        });
    }

    void stop() {
        executor.shutdownNow();
    }

    private void schedule(long millis, Runnable task) {
        try {
            executor.schedule(task, millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The executor was shut down; the HTTP server closes the remaining connections.
            runningCount = 0;
        }
    }

    private void fillSlots() {
        while (running.size() < speed.slots() && !waiting.isEmpty()) {
            EngineRequest run = waiting.remove();
            running.add(run);
            start(run);
        }
        runningCount = running.size();
        waitingCount = waiting.size();
    }

    private void start(EngineRequest run) {
        int cachedTokens = cache.cachedPrefixLength(run.blocks()) * 64;
        int computedTokens = Math.max(0, run.promptTokens() - cachedTokens) + run.generated();
        cache.store(run.blocks());
        long delayMillis = http.fault() instanceof StandInFault.Late fault ? fault.millis() : 0;
        schedule(delayMillis + applySlowdown(computedTokens / speed.prefillTokensPerMilli()), () -> {
            if (!http.isSilenced(run.exchange())) {
                run.exchange().echo(run.wrongIdentity()).beginStream();
            }
            generateToken(run);
        });
    }

    private long applySlowdown(long millis) {
        return http.fault() instanceof StandInFault.Slow slow ? (long) (millis * slow.factor()) : millis;
    }

    private void generateToken(EngineRequest run) {
        if (run.ended()) {
            return;
        }
        if (http.isSilenced(run.exchange())) {
            boolean claimsRunning = http.fault() instanceof StandInFault.Silent silent && silent.claimsRunning();
            if (claimsRunning) {
                schedule(speed.tokenMillis() + 1, () -> generateToken(run));
            } else {
                end(run);
            }
            return;
        }
        boolean truncated =
                http.fault() instanceof StandInFault.Truncated && run.generated() >= run.maximumTokens() / 2;
        if (truncated) {
            end(run);
            run.exchange().endStream();
        } else if (run.generated() >= run.maximumTokens()) {
            finish(run);
        } else {
            run.exchange()
                    .event(
                            chunk(run, run.nextToken(), ""),
                            () -> schedule(applySlowdown(speed.tokenMillis()), () -> generateToken(run)),
                            () -> schedule(0, () -> end(run)));
        }
    }

    private void finish(EngineRequest run) {
        run.exchange()
                .event(
                        chunk(run, "", "stop"),
                        () -> run.exchange()
                                .event("[DONE]", () -> run.exchange().endStream(), () -> {}),
                        () -> {});
        end(run);
    }

    private void end(EngineRequest run) {
        run.markEnded();
        running.remove(run);
        fillSlots();
    }

    private static String chunk(EngineRequest run, String text, String finishReason) {
        ObjectNode chunk = StandInExchange.newObject()
                .put("id", "run-" + run.arrivalNumber())
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
