package org.plantainwharf.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * What this daemon knows of one server from its own requests: what it has under way there, the load that came with
 * answers, recent failures, and the prompt parts that the server has probably kept. Owned by the forward controller.
 */
final class ServerStatistics {
    /** Parts remembered for each server; a server's memory holds some hundred prompts. */
    private static final int MAXIMUM_CACHED_PARTS = 4_096;

    /** A load report older than this says less than the requests of this daemon alone. */
    private static final long LOAD_VALID_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long INITIAL_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A server that is back after a crash is tried again within this time. */
    private static final long MAXIMUM_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** How long a server that left a request unanswered is avoided, counted anew at each tick while it does. */
    private static final long OVERDUE_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Weight of the newest result in the share of failures. */
    private static final double FAILURE_SMOOTHING_WEIGHT = 0.2;

    /** Above this share of failed requests a server is avoided although it answers others. */
    private static final double FAILURE_RATE_THRESHOLD = 0.3;

    /** Weight of the newest duration in the learned one. */
    private static final double DURATION_SMOOTHING_WEIGHT = 0.1;

    private final Map<String, Long> cachedParts = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAXIMUM_CACHED_PARTS;
        }
    };
    private int inFlight;
    private long pendingPromptTokens;
    private @Nullable ServerLoad load;
    private long loadNanos;
    private int sentSinceLoad;
    private int endedSinceLoad;
    private double failureRate;
    private int consecutiveFailures;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private double averageDurationMillis;
    private long lastAnswerNanos = Long.MIN_VALUE;

    /** Notes that a request was sent. */
    void recordSent(long uncachedTokens, Optional<PromptShape> prompt, long nowNanos) {
        inFlight++;
        sentSinceLoad++;
        pendingPromptTokens += uncachedTokens;
        prompt.ifPresent(shape -> shape.parts().forEach(part -> cachedParts.put(part.id(), nowNanos)));
    }

    /** Notes that an answer has begun, so the prompt has been read. */
    void recordPromptRead(long uncachedTokens) {
        pendingPromptTokens -= uncachedTokens;
    }

    /** Notes that a request ended. */
    void recordEnded() {
        inFlight--;
        endedSinceLoad++;
    }

    /** Takes the load that came with an answer. */
    void recordLoad(ServerLoad newLoad, long nowNanos) {
        load = newLoad;
        loadNanos = nowNanos;
        sentSinceLoad = 0;
        endedSinceLoad = 0;
    }

    /** Notes a request that went well. */
    void recordSuccess(long durationNanos, long nowNanos) {
        lastAnswerNanos = nowNanos;
        consecutiveFailures = 0;
        failureRate -= FAILURE_SMOOTHING_WEIGHT * failureRate;
        double millis = durationNanos / 1e6;
        averageDurationMillis = averageDurationMillis == 0
                ? millis
                : averageDurationMillis + DURATION_SMOOTHING_WEIGHT * (millis - averageDurationMillis);
    }

    /**
     * Notes a request that the server failed or that could not be sent.
     *
     * @param unreachable whether the server took no connection at all
     */
    void recordFailure(boolean unreachable, long nowNanos) {
        consecutiveFailures++;
        failureRate += FAILURE_SMOOTHING_WEIGHT * (1 - failureRate);
        if (unreachable || consecutiveFailures > 1 || failureRate > FAILURE_RATE_THRESHOLD) {
            long avoidance = INITIAL_AVOIDANCE_NANOS << Math.min(consecutiveFailures - 1, 3);
            avoidUntilNanos = nowNanos + Math.min(avoidance, MAXIMUM_AVOIDANCE_NANOS);
        }
    }

    /**
     * Notes a request that has waited for its answer too long. The server is avoided if it began no other answer
     * since: it may be cut off, frozen or gone without closing its connections.
     *
     * @return whether the server is avoided from now on and was not before
     */
    boolean recordOverdue(long sentNanos, long nowNanos) {
        if (lastAnswerNanos != Long.MIN_VALUE && lastAnswerNanos - sentNanos >= 0) {
            return false;
        }
        boolean newlyAvoided = !isAvoided(nowNanos);
        avoidFor(OVERDUE_AVOIDANCE_NANOS, nowNanos);
        return newlyAvoided;
    }

    /** Notes that the server refused a request because it is full; {@code forNanos} is how long to stay away. */
    void avoidFor(long durationNanos, long nowNanos) {
        avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + durationNanos);
    }

    /** Says whether the server is to be left alone now. */
    boolean isAvoided(long nowNanos) {
        return nowNanos - avoidUntilNanos < 0 && avoidUntilNanos != Long.MIN_VALUE;
    }

    /** Returns the requests that are probably at the server, running or waiting. */
    int estimatedRequests(long nowNanos) {
        ServerLoad current = load;
        if (current == null || nowNanos - loadNanos > LOAD_VALID_NANOS) {
            return inFlight;
        }
        return Math.max(inFlight, current.running() + current.waiting() + sentSinceLoad - endedSinceLoad);
    }

    /** Returns prompt tokens sent here by this daemon that the server has not read yet. */
    long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Returns how long answers take, 0 before the first. */
    double averageDurationMillis() {
        return averageDurationMillis;
    }

    int inFlight() {
        return inFlight;
    }

    /** Returns the prompt tokens that the server probably has to read: all after the first part that it lacks. */
    long uncachedTokens(PromptShape prompt) {
        long cached = 0;
        for (PromptShape.Part part : prompt.parts()) {
            if (!cachedParts.containsKey(part.id())) {
                break;
            }
            cached += part.tokens();
        }
        return Math.max(0, prompt.inputTokens() - cached);
    }
}
