package org.plantainwharf.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Statistics of one server, gathered from the requests of this daemon: requests in flight, the load reported with
 * answers, recent failures, and the prompt parts that the server has probably cached. Owned by the control thread;
 * modified only by the forward controller.
 */
final class ServerStatistics {
    /** Maximum number of prompt parts recorded for a server, whose cache holds a few hundred prompts. */
    private static final int MAXIMUM_CACHED_PARTS = 4_096;

    /**
     * Maximum age of a load report that is used; an older one is less accurate than the number of this daemon's own
     * requests.
     */
    private static final long LOAD_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Time after which a reported work time factor says nothing any more. */
    private static final long WORK_TIME_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Weight of the newest report in the work time factor. */
    private static final double WORK_TIME_SMOOTHING_WEIGHT = 0.5;

    /** Weight of the newest answer in the speed ratio. */
    private static final double SPEED_SMOOTHING_WEIGHT = 0.3;

    private static final double MINIMUM_SPEED_RATIO = 0.3;
    private static final double MAXIMUM_SPEED_RATIO = 4;

    /** Shorter prompts are answered in a time that depends on other things than their length. */
    private static final long MINIMUM_SPEED_TOKENS = 1_000;

    /** Fraction of its speed by which a server reduces its queue while other daemons add to it. */
    private static final double NET_DRAIN_FRACTION = 0.5;

    private static final long INITIAL_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Upper bound of the avoidance, so that a server restarted after a crash is used again within this time. */
    private static final long MAXIMUM_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** How long a server with an overdue answer is avoided; restarts at each tick while an answer is overdue. */
    private static final long OVERDUE_AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Weight of the newest result in the failure rate. */
    private static final double FAILURE_SMOOTHING_WEIGHT = 0.2;

    /** A server with a higher failure rate is avoided even if it answers some requests. */
    private static final double FAILURE_RATE_THRESHOLD = 0.3;

    /** Weight of the newest sample in the average time to the start of an answer. */
    private static final double TIME_TO_ANSWER_SMOOTHING_WEIGHT = 0.1;

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
    private long tokensSentSinceLoad;
    private double workTimeFactor = 1;
    /** How much longer answers of this server take to start than those of the service's usual server. */
    private double speedRatio = 1;

    private double failureRate;
    private int consecutiveFailures;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private double averageTimeToAnswerMillis;
    private long lastAnswerNanos = Long.MIN_VALUE;
    private OptionalLong lastConnectionLostNanos = OptionalLong.empty();

    void recordSent(long uncachedTokens, Optional<PromptShape> prompt, long nowNanos) {
        inFlight++;
        sentSinceLoad++;
        tokensSentSinceLoad += uncachedTokens;
        pendingPromptTokens += uncachedTokens;
        prompt.ifPresent(shape -> shape.parts().forEach(part -> cachedParts.put(part.id(), nowNanos)));
    }

    /** Records that the server has processed a prompt, since its answer has started or the request has ended. */
    void recordPromptProcessed(long uncachedTokens) {
        pendingPromptTokens -= uncachedTokens;
    }

    void recordEnded() {
        inFlight--;
        endedSinceLoad++;
    }

    /** Records the load that the server reported with an answer. */
    void recordLoad(ServerLoad newLoad, long nowNanos) {
        double factor = (double) newLoad.workTimePercent() / ServerLoad.USUAL_WORK_TIME_PERCENT;
        workTimeFactor = workTimeFactor(nowNanos) + WORK_TIME_SMOOTHING_WEIGHT * (factor - workTimeFactor(nowNanos));
        load = newLoad;
        loadNanos = nowNanos;
        sentSinceLoad = 0;
        endedSinceLoad = 0;
        tokensSentSinceLoad = 0;
    }

    /**
     * Returns how much longer than usual work takes on the server's machine. The figure changes within a fraction of a
     * second, so it returns to 1 with the age of the report.
     */
    double workTimeFactor(long nowNanos) {
        double age = Math.min(1, (double) (nowNanos - loadNanos) / WORK_TIME_VALIDITY_NANOS);
        return workTimeFactor + age * (1 - workTimeFactor);
    }

    /**
     * Records the time until the answer to a request with a prompt started. Call it before {@link
     * #recordPromptProcessed}. Requests that waited for others of this daemon say nothing about the usual speed of the
     * engines, but they do say that this server is slow at present.
     */
    void recordPromptTime(long uncachedTokens, double millis, EngineProfile profile) {
        if (pendingPromptTokens == uncachedTokens) {
            profile.recordAnswer(uncachedTokens, millis);
        }
        double expectedMillis =
                profile.overheadMillis() + profile.millisPerToken() * Math.max(MINIMUM_SPEED_TOKENS, uncachedTokens);
        double ratio = Math.max(MINIMUM_SPEED_RATIO, Math.min(MAXIMUM_SPEED_RATIO, millis / expectedMillis));
        speedRatio += SPEED_SMOOTHING_WEIGHT * (ratio - speedRatio);
    }

    /** Returns how long this server takes for a prompt token, in milliseconds. */
    double millisPerToken(EngineProfile profile, long nowNanos) {
        return profile.millisPerToken() * speedRatio * workTimeFactor(nowNanos);
    }

    /**
     * Returns the time until this server has processed the prompts that a request sent now would find there, in
     * milliseconds. Waiting requests of other daemons count with the average prompt, and less with the age of the report.
     */
    double queueMillis(EngineProfile profile, long nowNanos) {
        double millisPerToken = millisPerToken(profile, nowNanos);
        double queueMillis = pendingPromptTokens * millisPerToken;
        ServerLoad current = load;
        if (current != null && nowNanos - loadNanos <= LOAD_VALIDITY_NANOS) {
            double reported = (current.waiting() * profile.averageTokens() + tokensSentSinceLoad) * millisPerToken;
            queueMillis = Math.max(queueMillis, reported - NET_DRAIN_FRACTION * (nowNanos - loadNanos) / 1e6);
        }
        return queueMillis;
    }

    /** Records that an answer has started; {@code durationNanos} is the time since the request was sent. */
    void recordAnswerStarted(long durationNanos, long nowNanos) {
        lastAnswerNanos = nowNanos;
        consecutiveFailures = 0;
        failureRate -= FAILURE_SMOOTHING_WEIGHT * failureRate;
        double millis = durationNanos / 1e6;
        averageTimeToAnswerMillis = averageTimeToAnswerMillis == 0
                ? millis
                : averageTimeToAnswerMillis + TIME_TO_ANSWER_SMOOTHING_WEIGHT * (millis - averageTimeToAnswerMillis);
    }

    /**
     * Records a request that failed or could not be sent. The server is avoided if the request was not sent, if two or
     * more requests failed in a row, or if its failure rate is too high.
     *
     * @param notSent whether the attempt failed before any byte of the request was written
     */
    void recordFailure(boolean notSent, long nowNanos) {
        consecutiveFailures++;
        failureRate += FAILURE_SMOOTHING_WEIGHT * (1 - failureRate);
        if (notSent || consecutiveFailures > 1 || failureRate > FAILURE_RATE_THRESHOLD) {
            long avoidance = INITIAL_AVOIDANCE_NANOS << Math.min(consecutiveFailures - 1, 3);
            avoidUntilNanos = nowNanos + Math.min(avoidance, MAXIMUM_AVOIDANCE_NANOS);
        }
    }

    /** Records a connection to the server that broke or could not be opened, as when the server has crashed. */
    void recordConnectionLost(long nowNanos) {
        lastConnectionLostNanos = OptionalLong.of(nowNanos);
    }

    /** Returns whether a report that arrived at this time is later than the last connection that was lost. */
    boolean isReportedSinceConnectionLost(long reportNanos) {
        return lastConnectionLostNanos.isEmpty() || reportNanos - lastConnectionLostNanos.getAsLong() > 0;
    }

    /**
     * Records a request whose answer is overdue. The server is avoided if it has started no other answer since the
     * request was sent: it may be partitioned, frozen or gone without having closed its connections.
     *
     * @return whether the server is avoided from now on and was not avoided before
     */
    boolean recordOverdue(long sentNanos, long nowNanos) {
        if (lastAnswerNanos != Long.MIN_VALUE && lastAnswerNanos - sentNanos >= 0) {
            return false;
        }
        boolean newlyAvoided = !isAvoided(nowNanos);
        avoidFor(OVERDUE_AVOIDANCE_NANOS, nowNanos);
        return newlyAvoided;
    }

    /** Avoids the server for a time, for example after it refused a request; never shortens an earlier avoidance. */
    void avoidFor(long durationNanos, long nowNanos) {
        avoidUntilNanos = Math.max(avoidUntilNanos, nowNanos + durationNanos);
    }

    /** Returns whether the server is avoided now. */
    boolean isAvoided(long nowNanos) {
        return nowNanos - avoidUntilNanos < 0 && avoidUntilNanos != Long.MIN_VALUE;
    }

    /** Returns whether the server has reported its load since this time. */
    boolean hasLoadSince(long nanos) {
        return load != null && loadNanos - nanos >= 0;
    }

    /** Returns the estimated number of requests at the server, running or waiting. */
    int estimatedRequests(long nowNanos) {
        ServerLoad current = load;
        if (current == null || nowNanos - loadNanos > LOAD_VALIDITY_NANOS) {
            return inFlight;
        }
        return Math.max(inFlight, current.running() + current.waiting() + sentSinceLoad - endedSinceLoad);
    }

    /** Returns the prompt tokens that this daemon has sent to the server and that it has not processed yet. */
    long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Returns the average time until an answer starts; 0 before the first answer. */
    double averageTimeToAnswerMillis() {
        return averageTimeToAnswerMillis;
    }

    int inFlight() {
        return inFlight;
    }

    /** Returns the prompt tokens that the server probably has not cached: all from the first uncached part on. */
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
