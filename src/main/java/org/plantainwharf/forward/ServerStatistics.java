package org.plantainwharf.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.observation.ObservationSection;
import org.plantainwharf.observation.SeenServer;
import org.plantainwharf.observation.ServerObservation;
import org.plantainwharf.observation.ServerStart;

/**
 * Statistics of one start of a server, gathered from the requests of this daemon: requests in flight, the load reported with
 * answers, recent failures, and the prompt parts that the server has probably cached. Load and speed are those that this
 * daemon or another has seen last. Owned by the control thread;
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

    /** Relative step of the usual speed ratio. */
    private static final double SPEED_STEP = 0.04;

    /** Fraction of the samples that are below the usual speed ratio; waits only lengthen a sample. */
    private static final double SPEED_QUANTILE = 0.4;

    /** Time after which the ratio of the last answers says nothing any more. */
    private static final long PRESENT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double MINIMUM_SPEED_RATIO = 0.3;
    private static final double MAXIMUM_SPEED_RATIO = 4;

    /** Shorter prompts are answered in a time that depends on other things than their length. */
    private static final long MINIMUM_SPEED_TOKENS = 1_000;

    /** Age at which a reported queue tells a third of what it told; an engine processes two or three prompts in it. */
    private static final double QUEUE_MEMORY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Start of a server of which no report was seen. */
    private static final long NO_START = -1;

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
    private long ownLoadNanos;
    private boolean ownLoadKnown;
    private final RecentRequests sinceLoad = RecentRequests.create();
    private ServerStart start = new ServerStart(0);
    private long startEpochMillis = NO_START;
    private double workTimeFactor = 1;
    /** How much longer answers of this server take to start than those of the service's usual server. */
    private double usualRatio = 1;

    /** The same for the last answers that this daemon received; includes waits of which it knows nothing else. */
    private double presentRatio = 1;

    private long presentNanos;
    private long speedNanos;
    private boolean speedKnown;
    private boolean speedChangedSinceReport;

    private double failureRate;
    private int consecutiveFailures;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private double averageTimeToAnswerMillis;
    private long lastAnswerNanos = Long.MIN_VALUE;
    private OptionalLong lastConnectionLostNanos = OptionalLong.empty();

    void recordSent(long uncachedTokens, Optional<PromptShape> prompt, long nowNanos) {
        inFlight++;
        sinceLoad.add(1, uncachedTokens, nowNanos);
        pendingPromptTokens += uncachedTokens;
        prompt.ifPresent(shape -> shape.parts().forEach(part -> cachedParts.put(part.id(), nowNanos)));
    }

    /** Records that the server has processed a prompt, since its answer has started or the request has ended. */
    void recordPromptProcessed(long uncachedTokens) {
        pendingPromptTokens -= uncachedTokens;
    }

    void recordEnded(long nowNanos) {
        inFlight--;
        sinceLoad.add(-1, 0, nowNanos);
    }

    /**
     * Begins to keep what is learned of this start of the server. What was learned of an earlier start is forgotten, except
     * failures and the requests that have not ended.
     */
    void beginStart(ServerStart newStart, long newStartEpochMillis) {
        boolean restarted = startEpochMillis != NO_START;
        start = newStart;
        startEpochMillis = newStartEpochMillis;
        if (restarted) {
            cachedParts.clear();
            load = null;
            ownLoadKnown = false;
            workTimeFactor = 1;
            speedKnown = false;
            presentRatio = 1;
            speedChangedSinceReport = false;
            sinceLoad.clear();
        }
    }

    /** Returns the start of the server in milliseconds since the epoch; a negative number before it is known. */
    long startEpochMillis() {
        return startEpochMillis;
    }

    ServerStart start() {
        return start;
    }

    /** Records the load that the server reported with an answer. */
    void recordLoad(ServerLoad newLoad, long nowNanos) {
        setLoad(newLoad, nowNanos);
        ownLoadNanos = nowNanos;
        ownLoadKnown = true;
        sinceLoad.clear();
    }

    /** Records what another daemon has seen, unless this daemon knows something newer. */
    void recordSeen(SeenServer seen) {
        if (load == null || seen.seenNanos() - loadNanos > 0) {
            setLoad(
                    new ServerLoad(seen.running(), seen.waiting(), 0, Math.max(1, seen.workTimePercent())),
                    seen.seenNanos());
            sinceLoad.removeUntil(seen.seenNanos());
        }
        if (seen.speedPercent() > 0 && (!speedKnown || seen.speedNanos() - speedNanos > 0)) {
            usualRatio = Math.max(MINIMUM_SPEED_RATIO, Math.min(MAXIMUM_SPEED_RATIO, seen.speedPercent() / 100.0));
            speedNanos = seen.speedNanos();
            speedKnown = true;
        }
    }

    /** Returns what the server has said to this daemon since a time; empty if it has said nothing. */
    Optional<ServerObservation> seenSince(long sinceNanos, long nowNanos) {
        ServerLoad current = load;
        if (current == null || !ownLoadKnown || ownLoadNanos - sinceNanos <= 0 || ownLoadNanos != loadNanos) {
            return Optional.empty();
        }
        int speedPercent = speedChangedSinceReport ? (int) Math.round(100 * usualRatio) : 0;
        speedChangedSinceReport = false;
        return Optional.of(new ServerObservation(
                start, current.running(), current.waiting(), current.workTimePercent(), speedPercent, (int)
                        ((nowNanos - ownLoadNanos) / 1_000_000)));
    }

    private void setLoad(ServerLoad newLoad, long seenNanos) {
        double factor = (double) newLoad.workTimePercent() / ServerLoad.USUAL_WORK_TIME_PERCENT;
        workTimeFactor = workTimeFactor(seenNanos) + WORK_TIME_SMOOTHING_WEIGHT * (factor - workTimeFactor(seenNanos));
        load = newLoad;
        loadNanos = seenNanos;
    }

    /**
     * Returns how much longer than usual work takes on the server's machine. The figure changes within a fraction of a
     * second, so it returns to 1 with the age of the report.
     */
    double workTimeFactor(long nowNanos) {
        double age = Math.max(0, Math.min(1, (double) (nowNanos - loadNanos) / WORK_TIME_VALIDITY_NANOS));
        return workTimeFactor + age * (1 - workTimeFactor);
    }

    /**
     * Records the time until the answer to a request with a prompt started. Call it before {@link
     * #recordPromptProcessed}. Requests that waited for others of this daemon say nothing about the usual speed of the
     * engines, but they do say that this server is slow at present.
     */
    void recordPromptTime(long uncachedTokens, double millis, EngineProfile profile, long nowNanos) {
        if (pendingPromptTokens == uncachedTokens) {
            profile.recordAnswer(uncachedTokens, millis);
        }
        double expectedMillis =
                profile.overheadMillis() + profile.millisPerToken() * Math.max(MINIMUM_SPEED_TOKENS, uncachedTokens);
        double ratio = Math.max(MINIMUM_SPEED_RATIO, Math.min(MAXIMUM_SPEED_RATIO, millis / expectedMillis));
        presentRatio = presentRatio(nowNanos);
        presentRatio += SPEED_SMOOTHING_WEIGHT * (ratio - presentRatio);
        presentNanos = nowNanos;
        double step = SPEED_STEP * (ratio > usualRatio(nowNanos) ? SPEED_QUANTILE / (1 - SPEED_QUANTILE) : -1);
        usualRatio =
                Math.max(MINIMUM_SPEED_RATIO, Math.min(MAXIMUM_SPEED_RATIO, usualRatio(nowNanos) * Math.exp(step)));
        speedNanos = nowNanos;
        speedKnown = true;
        speedChangedSinceReport = true;
    }

    /** Returns how much longer than usual this server takes for a prompt token; 1 if nothing was learned for a time. */
    private double usualRatio(long nowNanos) {
        return speedKnown && nowNanos - speedNanos < ObservationSection.MAXIMUM_AGE_NANOS ? usualRatio : 1;
    }

    /** Returns the ratio of this daemon's last answers, which returns to the usual one with their age. */
    private double presentRatio(long nowNanos) {
        double age = Math.min(1, (double) (nowNanos - presentNanos) / PRESENT_VALIDITY_NANOS);
        return presentRatio + age * (usualRatio(nowNanos) - presentRatio);
    }

    /** Returns how long this server takes for a prompt token, in milliseconds. */
    double millisPerToken(EngineProfile profile, long nowNanos) {
        return profile.millisPerToken() * presentRatio(nowNanos) * workTimeFactor(nowNanos);
    }

    /**
     * Returns the time until this server has processed the prompts that a request sent now would find there, in
     * milliseconds. Waiting requests of other daemons count with the average prompt. With the age of the report they approach
     * the average of the service: an old report of a long or an empty queue says little of the present one.
     */
    double queueMillis(EngineProfile profile, long nowNanos) {
        double millisPerToken = millisPerToken(profile, nowNanos);
        double queueMillis = pendingPromptTokens * millisPerToken;
        ServerLoad current = load;
        if (current != null && nowNanos - loadNanos <= LOAD_VALIDITY_NANOS) {
            double certainty = Math.exp(-(nowNanos - loadNanos) / QUEUE_MEMORY_NANOS);
            double reported = certainty * current.waiting() * profile.averageTokens() * millisPerToken
                    + (1 - certainty) * profile.averageQueueMillis();
            queueMillis = Math.max(queueMillis, reported + sinceLoad.promptTokens() * millisPerToken);
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

    /**
     * Returns whether a request sent now would begin at once: nothing waits there by the newest load, and a slot is free
     * after what this daemon has sent since, none of whose prompts is to be processed. A server that gets no requests
     * sends no reports; without a known load it is free if this daemon has nothing there.
     */
    boolean hasFreePlace(int slots, long nowNanos) {
        ServerLoad current = load;
        if (current == null || nowNanos - loadNanos > LOAD_VALIDITY_NANOS) {
            return inFlight == 0;
        }
        return current.waiting() == 0 && pendingPromptTokens == 0 && estimatedRequests(nowNanos) < slots;
    }

    /** Returns the estimated number of requests at the server, running or waiting. */
    int estimatedRequests(long nowNanos) {
        ServerLoad current = load;
        if (current == null || nowNanos - loadNanos > LOAD_VALIDITY_NANOS) {
            return inFlight;
        }
        return Math.max(inFlight, current.running() + current.waiting() + sinceLoad.requests());
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
