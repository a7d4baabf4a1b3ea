package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.KnownServer;

/**
 * Selects the server with the lowest estimated cost in milliseconds. The estimate adds the time to process the uncached
 * prompt tokens and the pending prompts that this daemon has sent to the server, the load of the server relative to its
 * slots, the cost of another availability zone and the remaining warm-up. Requests that share a prompt part prefer the
 * server that rendezvous hashing assigns to the part, which is the same in every daemon, so that only one server
 * processes the part. Stateless.
 */
final class ServerSelector {
    /** Additional time of a request on an engine whose slots are all in use. */
    private static final double SATURATED_ENGINE_MILLIS = 150;

    /** Waiting time on a server with twice as many requests as slots; proportional to the requests beyond the slots. */
    private static final double QUEUED_ROUND_MILLIS = 1_000;

    /**
     * Cost of the way to a server in another zone: the latency of two crossings and the price of the traffic. What a request
     * waits there and here is measured.
     */
    private static final double CROSS_ZONE_MILLIS = 12;

    /** Cost of an engine of the other pool: the wait for a long prompt that is half processed. */
    private static final double OTHER_POOL_MILLIS = 150;

    /** Assumed time to the start of the answer of a server that has not answered yet; for requests without a prompt. */
    private static final double DEFAULT_TIME_TO_ANSWER_MILLIS = 50;

    /** Number of servers of this zone that are compared. Each further one makes more daemons choose the same server. */
    private static final int NEAR_DRAWS = 3;

    /** Number of servers of any zone that are compared with them, so that a wait here is weighed against the way. */
    private static final int FAR_DRAWS = 1;

    private ServerSelector() {}

    /** A server that may receive the request. */
    record Candidate(KnownServer server, ServerStatistics statistics) {
        ServerId id() {
            return server.report().server();
        }
    }

    /**
     * Returns the candidate with the lowest estimated cost among the preferred one and a few that are drawn at random with
     * weights by their speed; empty if there are no candidates. Daemons with equal knowledge would otherwise all choose the
     * same server until they hear of what the others have sent there.
     *
     * @param kept what candidates probably keep of the prompt of the request
     * @param longPromptServers pool of engines for long prompts; empty if the engines are not divided
     * @param profile what is known about the engines of the service
     * @param random gives numbers from 0 to less than 1
     */
    static Optional<Candidate> select(
            List<Candidate> candidates,
            KeptPartEstimate kept,
            Set<ServerId> longPromptServers,
            EngineProfile profile,
            AvailabilityZone zone,
            DoubleSupplier random,
            long nowNanos) {
        Optional<PromptShape> prompt = kept.prompt();
        List<Candidate> compared = new ArrayList<>(kept.homes(candidates.stream()
                .filter(candidate -> inMatchingPool(candidate, prompt, longPromptServers))
                .toList()));
        List<Candidate> near = candidates.size() <= NEAR_DRAWS + FAR_DRAWS
                ? candidates
                : candidates.stream()
                        .filter(candidate -> candidate.server().report().zone().equals(zone)
                                && inMatchingPool(candidate, prompt, longPromptServers))
                        .toList();
        ServerDraw.draw(
                near,
                NEAR_DRAWS + (near.size() == candidates.size() ? FAR_DRAWS : 0),
                profile,
                random,
                nowNanos,
                compared);
        if (near.size() < candidates.size()) {
            ServerDraw.draw(candidates, near.isEmpty() ? NEAR_DRAWS : FAR_DRAWS, profile, random, nowNanos, compared);
        }
        return compared.stream()
                .min(Comparator.comparingDouble(candidate -> estimatedMillis(candidate, kept, zone, nowNanos)
                        + (inMatchingPool(candidate, prompt, longPromptServers) ? 0 : OTHER_POOL_MILLIS)));
    }

    private static boolean inMatchingPool(
            Candidate candidate, Optional<PromptShape> prompt, Set<ServerId> longPromptServers) {
        return prompt.isEmpty()
                || longPromptServers.isEmpty()
                || longPromptServers.contains(candidate.server().report().server())
                        == LongPromptPool.isLongPrompt(prompt.get());
    }

    private static double estimatedMillis(
            Candidate candidate, KeptPartEstimate kept, AvailabilityZone zone, long nowNanos) {
        ServerStatistics statistics = candidate.statistics();
        int slots = Math.max(1, candidate.server().report().slots());
        double utilization = (double) statistics.estimatedRequests(nowNanos) / slots;
        double millis = candidate.server().report().zone().equals(zone) ? 0 : CROSS_ZONE_MILLIS;
        millis += Math.max(0, utilization - 1) * QUEUED_ROUND_MILLIS;
        if (kept.prompt().isPresent()) {
            // The time until the engine has processed the prompt and those before it.
            millis += kept.waitMillis(candidate, nowNanos) + kept.processingMillis(candidate, nowNanos);
            millis += SATURATED_ENGINE_MILLIS * utilization * utilization;
        } else {
            double timeToAnswerMillis = statistics.averageTimeToAnswerMillis() == 0
                    ? DEFAULT_TIME_TO_ANSWER_MILLIS
                    : statistics.averageTimeToAnswerMillis();
            millis += timeToAnswerMillis * (1 + utilization);
        }
        // Each second of remaining warm-up costs 10 ms.
        return millis + candidate.server().report().remainingWarmupMillis() / 100.0;
    }

    /** Returns an evenly distributed hash of a pair of part and server; the same in every daemon. */
    static long rendezvousHash(String part, String server) {
        long value = 31L * part.hashCode() + server.hashCode();
        value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
        return value ^ (value >>> 31);
    }
}
