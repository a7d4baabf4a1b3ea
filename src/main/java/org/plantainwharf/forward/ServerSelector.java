package org.plantainwharf.forward;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.KnownServer;

/**
 * Chooses a server by the time that a request would probably wait there. The estimate adds the prompt to be read, the
 * prompts that this daemon has sent before it, the requests at the server against its slots, and the way to another
 * zone. Requests that share a prompt part prefer one server by a hash that every daemon computes alike, so that the part
 * is read once. Stateless.
 */
final class ServerSelector {
    /** Prompt tokens that an engine reads in a millisecond; engines of the described kind read 90 to 140. */
    private static final double PROMPT_TOKENS_PER_MILLISECOND = 100;

    /** Slowdown of an engine whose slots are all taken, in milliseconds of a request's wait. */
    private static final double SATURATED_ENGINE_MILLIS = 150;

    /** Wait for each round of slots beyond those a server has. */
    private static final double QUEUED_ROUND_MILLIS = 1_000;

    /** Cost of the way to another zone: two crossings and the price of its bytes. */
    private static final double CROSS_ZONE_MILLIS = 12;

    /** Cost of an engine kept for prompts of the other length: the wait behind a long prompt that is half read. */
    private static final double OTHER_POOL_MILLIS = 150;

    /** Duration assumed of a plain request before one was measured. */
    private static final double DEFAULT_DURATION_MILLIS = 50;

    /** Below this many tokens a shared part is cheaper to read again than to queue for. */
    private static final long MINIMUM_SHARED_TOKENS = 256;

    private ServerSelector() {}

    /** A server with what this daemon knows of it. */
    record Candidate(KnownServer server, ServerStatistics statistics) {}

    /**
     * Returns the best candidate.
     *
     * @param longPromptServers engines kept for long prompts
     */
    static Optional<Candidate> select(
            List<Candidate> candidates,
            Optional<PromptShape> prompt,
            Set<ServerId> longPromptServers,
            AvailabilityZone zone,
            long nowNanos) {
        Optional<String> sharedPart = prompt.flatMap(ServerSelector::lastSharedPart);
        Optional<Candidate> preferred = sharedPart.flatMap(part -> candidates.stream()
                .filter(candidate -> inMatchingPool(candidate, prompt, longPromptServers))
                .max(Comparator.comparingLong(candidate -> rendezvousHash(
                        part, candidate.server().report().server().value()))));
        return candidates.stream()
                .min(Comparator.comparingDouble(
                        candidate -> estimatedMillis(candidate, prompt, preferred, zone, nowNanos)
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
            Candidate candidate,
            Optional<PromptShape> prompt,
            Optional<Candidate> preferred,
            AvailabilityZone zone,
            long nowNanos) {
        ServerStatistics statistics = candidate.statistics();
        int slots = Math.max(1, candidate.server().report().slots());
        double utilization = (double) statistics.estimatedRequests(nowNanos) / slots;
        double millis = candidate.server().report().zone().equals(zone) ? 0 : CROSS_ZONE_MILLIS;
        millis += Math.max(0, utilization - 1) * QUEUED_ROUND_MILLIS;
        if (prompt.isPresent()) {
            long tokensToRead = statistics.uncachedTokens(prompt.get()) + statistics.pendingPromptTokens();
            millis += tokensToRead / PROMPT_TOKENS_PER_MILLISECOND;
            millis += SATURATED_ENGINE_MILLIS * utilization * utilization;
            if (preferred.isPresent() && preferred.get() == candidate) {
                millis -= sharedTokens(prompt.get()) / PROMPT_TOKENS_PER_MILLISECOND / 2;
            }
        } else {
            double duration = statistics.averageDurationMillis() == 0
                    ? DEFAULT_DURATION_MILLIS
                    : statistics.averageDurationMillis();
            millis += duration * (1 + utilization);
        }
        return millis + candidate.server().report().warmupMillis() / 100.0;
    }

    /** Returns the last part that other requests may have too, if it is long enough to matter. */
    private static Optional<String> lastSharedPart(PromptShape prompt) {
        return sharedTokens(prompt) < MINIMUM_SHARED_TOKENS
                ? Optional.empty()
                : Optional.of(prompt.parts().get(prompt.parts().size() - 2).id());
    }

    private static long sharedTokens(PromptShape prompt) {
        return prompt.parts().stream()
                .limit(Math.max(0, prompt.parts().size() - 1))
                .mapToLong(PromptShape.Part::tokens)
                .sum();
    }

    /** Spreads pairs of part and server evenly, the same on every daemon. */
    static long rendezvousHash(String part, String server) {
        long value = 31L * part.hashCode() + server.hashCode();
        value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
        return value ^ (value >>> 31);
    }
}
