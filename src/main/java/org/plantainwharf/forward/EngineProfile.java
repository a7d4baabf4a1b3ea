package org.plantainwharf.forward;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.keptpart.Retention;

/**
 * What this daemon has learned about the engines of a service and the requests to them. The time for a prompt token
 * follows a low quantile of the time to the start of an answer over the prompt tokens processed for it: requests that
 * waited for others only lengthen that time, so the low quantile is close to the time of an engine without a queue.
 *
 * <p>Invariants: the learned time stays within fixed bounds; the tokens turned away only grow. Owned by the control
 * thread; modified only by the forward controller.
 */
public final class EngineProfile {
    /** Time for a prompt token that is assumed before any answer, in milliseconds. */
    public static final double INITIAL_MILLIS_PER_TOKEN = 0.01;

    private static final double MINIMUM_MILLIS_PER_TOKEN = 0.001;
    private static final double MAXIMUM_MILLIS_PER_TOKEN = 0.1;

    /** Fraction of the samples that are below the learned time. */
    private static final double QUANTILE = 0.4;

    /** Shorter prompts are answered in a time that depends more on other things than on their length. */
    private static final long MINIMUM_SAMPLE_TOKENS = 1_000;

    /** Relative step of the first samples, which shrinks with their number to the one of later samples. */
    private static final double FIRST_STEP = 0.4;

    private static final double LATER_STEP = 0.04;

    /** Relative step of the overhead. */
    private static final double OVERHEAD_STEP = 0.2;

    private static final double MINIMUM_OVERHEAD_STEP_MILLIS = 2;
    private static final double MAXIMUM_OVERHEAD_MILLIS = 500;

    /** Weight of the newest request in the average prompt. */
    private static final double AVERAGE_SMOOTHING_WEIGHT = 0.02;

    /** Weight of the newest report in the average queue; a daemon hears of a few servers in a second. */
    private static final double QUEUE_SMOOTHING_WEIGHT = 0.05;

    /** Fraction of the refusals that count as demand, as most callers return once and are counted again. */
    private static final double RETURNING_FACTOR = 0.5;

    /** Time for which a priority is remembered after a request with it. */
    private static final long PRIORITY_MEMORY_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final SortedMap<Integer, Long> prioritySeenNanos = new TreeMap<>();
    private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;
    private double overheadMillis;
    private double averageTokens;
    private long samples;
    private double turnedAwayTokens;
    private double averageQueueMillis;
    private double averageRequests;
    private double averageRequestMillis;
    private double averageHeldTokens;

    private EngineProfile() {}

    /** Returns a profile with initial values. */
    static EngineProfile create() {
        return new EngineProfile();
    }

    /**
     * Records a request that is sent to an engine.
     *
     * @param priority 0 is the most urgent
     */
    void recordSent(long uncachedTokens, int priority, long nowNanos) {
        prioritySeenNanos.put(priority, nowNanos);
        averageTokens = averageTokens == 0
                ? uncachedTokens
                : averageTokens + AVERAGE_SMOOTHING_WEIGHT * (uncachedTokens - averageTokens);
    }

    /**
     * Records a request that was refused because the engines could not begin it in time.
     *
     * @param returns whether the caller was told to return, so that its request will be counted again
     */
    void recordTurnedAway(PromptShape prompt, boolean returns) {
        // What the engines would have found in their caches is not known; the average prompt is the best guess.
        turnedAwayTokens += (returns ? RETURNING_FACTOR : 1) * Math.min(averageTokens, prompt.inputTokens());
    }

    /** Returns the most urgent priority of recent requests; a request of it waits for none of another priority. */
    int mostUrgentPriority(long nowNanos) {
        return prioritySeenNanos.entrySet().stream()
                .filter(seen -> nowNanos - seen.getValue() < PRIORITY_MEMORY_NANOS)
                .mapToInt(Map.Entry::getKey)
                .findFirst()
                .orElse(0);
    }

    /**
     * Records the time to the start of an answer of a request that found none of this daemon's prompts before it. What
     * short prompts take beyond their tokens is the time of the network and of a slow host itself; it is no work of the
     * engines, for which more of them would help.
     */
    void recordAnswer(long uncachedTokens, double millis) {
        if (uncachedTokens < MINIMUM_SAMPLE_TOKENS) {
            boolean above = millis - uncachedTokens * millisPerToken > overheadMillis;
            double step = Math.max(MINIMUM_OVERHEAD_STEP_MILLIS, OVERHEAD_STEP * overheadMillis);
            overheadMillis += above ? step * QUANTILE / (1 - QUANTILE) : -step;
            overheadMillis = Math.max(0, Math.min(MAXIMUM_OVERHEAD_MILLIS, overheadMillis));
            return;
        }
        double step = Math.max(LATER_STEP, FIRST_STEP / (1 + samples / 8.0));
        samples++;
        boolean above = (millis - overheadMillis) / uncachedTokens > millisPerToken;
        millisPerToken *= Math.exp(above ? step * QUANTILE / (1 - QUANTILE) : -step);
        millisPerToken = Math.max(MINIMUM_MILLIS_PER_TOKEN, Math.min(MAXIMUM_MILLIS_PER_TOKEN, millisPerToken));
    }

    /** Records the requests that an engine said run and wait there. */
    void recordLoad(int running, int waiting) {
        averageQueueMillis += QUEUE_SMOOTHING_WEIGHT * (waiting * averageTokens * millisPerToken - averageQueueMillis);
        averageRequests += QUEUE_SMOOTHING_WEIGHT * (running + waiting - averageRequests);
    }

    /** Records a request that an engine has answered to its end. */
    void recordCompleted(PromptShape prompt, double millis) {
        double weight = averageRequestMillis == 0 ? 1 : QUEUE_SMOOTHING_WEIGHT;
        averageRequestMillis += weight * (millis - averageRequestMillis);
        averageHeldTokens += weight * (prompt.inputTokens() + prompt.outputTokens() - averageHeldTokens);
    }

    /**
     * Returns how long engines keep parts. The requests at an engine and the time that one takes give the rate at which it
     * takes in tokens; running requests hold a part of its memory.
     *
     * @param memoryCapacityTokens tokens of running requests and kept parts that fit into the memory of an engine
     */
    Retention retention(long memoryCapacityTokens) {
        double requestsPerMilli = averageRequests / Math.max(1, averageRequestMillis);
        return new Retention(
                memoryCapacityTokens - averageRequests * averageHeldTokens, requestsPerMilli * averageTokens);
    }

    /** Returns the time that the requests waiting at an engine take on average, in milliseconds. */
    double averageQueueMillis() {
        return averageQueueMillis;
    }

    /** Returns the time to the start of an answer that does not depend on the prompt, in milliseconds. */
    double overheadMillis() {
        return overheadMillis;
    }

    /** Returns the prompt tokens of all requests turned away since the start of the process; only grows. */
    public double turnedAwayTokens() {
        return turnedAwayTokens;
    }

    /** Returns the time that an engine takes for a prompt token, in milliseconds. */
    public double millisPerToken() {
        return millisPerToken;
    }

    /** Returns the time to the start of an answer at an engine without a queue, in milliseconds. */
    public double expectedMillis(long uncachedTokens) {
        return overheadMillis + millisPerToken * uncachedTokens;
    }

    /** Returns the average number of prompt tokens that an engine has to process for a request; 0 before the first. */
    double averageTokens() {
        return averageTokens;
    }
}
