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
final class ServerChoice {
    /** Prompt tokens that an engine reads in a millisecond; engines of the described kind read 90 to 140. */
    private static final double PROMPT_TOKENS_PER_MILLI = 100;

    /** Slowdown of an engine whose slots are all taken, in milliseconds of a request's wait. */
    private static final double FULL_ENGINE_MILLIS = 150;

    /** Wait for each round of slots beyond those a server has. */
    private static final double EXTRA_ROUND_MILLIS = 1_000;

    /** Cost of the way to another zone: two crossings and the price of its bytes. */
    private static final double OTHER_ZONE_MILLIS = 12;

    /** Cost of an engine kept for prompts of the other length: the wait behind a long prompt that is half read. */
    private static final double OTHER_LANE_MILLIS = 150;

    /** Duration assumed of a plain request before one was measured. */
    private static final double FIRST_DURATION_MILLIS = 50;

    /** Below this many tokens a shared part is cheaper to read again than to queue for. */
    private static final long LEAST_SHARED_TOKENS = 256;

    private ServerChoice() {}

    /** A server with what this daemon knows of it. */
    record Candidate(KnownServer server, ServerLedger ledger) {}

    /**
     * Returns the best candidate.
     *
     * @param longServers engines kept for long prompts
     */
    static Optional<Candidate> best(
            List<Candidate> candidates,
            Optional<PromptShape> prompt,
            Set<ServerId> longServers,
            AvailabilityZone zone,
            long nowNanos) {
        Optional<String> shared = prompt.flatMap(ServerChoice::sharedPart);
        Optional<Candidate> preferred = shared.flatMap(part -> candidates.stream()
                .filter(candidate -> inLane(candidate, prompt, longServers))
                .max(Comparator.comparingLong(candidate ->
                        mixed(part, candidate.server().report().server().value()))));
        return candidates.stream()
                .min(Comparator.comparingDouble(candidate -> cost(candidate, prompt, preferred, zone, nowNanos)
                        + (inLane(candidate, prompt, longServers) ? 0 : OTHER_LANE_MILLIS)));
    }

    private static boolean inLane(Candidate candidate, Optional<PromptShape> prompt, Set<ServerId> longServers) {
        return prompt.isEmpty()
                || longServers.isEmpty()
                || longServers.contains(candidate.server().report().server()) == PromptLanes.longPrompt(prompt.get());
    }

    private static double cost(
            Candidate candidate,
            Optional<PromptShape> prompt,
            Optional<Candidate> preferred,
            AvailabilityZone zone,
            long nowNanos) {
        ServerLedger ledger = candidate.ledger();
        int slots = Math.max(1, candidate.server().report().slots());
        double occupied = (double) ledger.occupied(nowNanos) / slots;
        double cost = candidate.server().report().zone().equals(zone) ? 0 : OTHER_ZONE_MILLIS;
        cost += Math.max(0, occupied - 1) * EXTRA_ROUND_MILLIS;
        if (prompt.isPresent()) {
            long toRead = ledger.uncachedTokens(prompt.get()) + ledger.pendingPromptTokens();
            cost += toRead / PROMPT_TOKENS_PER_MILLI;
            cost += FULL_ENGINE_MILLIS * occupied * occupied;
            if (preferred.isPresent() && preferred.get() == candidate) {
                cost -= sharedTokens(prompt.get()) / PROMPT_TOKENS_PER_MILLI / 2;
            }
        } else {
            double duration = ledger.durationMillis() == 0 ? FIRST_DURATION_MILLIS : ledger.durationMillis();
            cost += duration * (1 + occupied);
        }
        return cost + candidate.server().report().warmupMillis() / 100.0;
    }

    /** Returns the last part that other requests may have too, if it is long enough to matter. */
    private static Optional<String> sharedPart(PromptShape prompt) {
        return sharedTokens(prompt) < LEAST_SHARED_TOKENS
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
    static long mixed(String part, String server) {
        long value = 31L * part.hashCode() + server.hashCode();
        value = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        value = (value ^ (value >>> 27)) * 0x94d049bb133111ebL;
        return value ^ (value >>> 31);
    }
}
