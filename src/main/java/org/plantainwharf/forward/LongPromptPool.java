package org.plantainwharf.forward;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.plantainwharf.identity.ServerId;

/**
 * Pool of the engines of a service that process long prompts. It keeps short prompts from waiting behind long ones: an
 * engine processes prompts in order of arrival, and a long one takes longer than the whole deadline of a short request.
 * The pool consists of the first engines in the order of a hash that is the same in every daemon; its size follows the
 * share of long prompts in the work. Owned by the control thread.
 */
final class LongPromptPool {
    /**
     * Minimum length of a long prompt, in tokens. It takes an engine a fifth of the shortest expected target latency,
     * 400 ms.
     */
    private static final long LONG_PROMPT_TOKENS = 8_192;

    /** Prompt tokens that an engine processes in a millisecond. */
    private static final double PROMPT_TOKENS_PER_MILLISECOND = 100;

    /** Additional processing time for a million pairs of prompt tokens; grows with the square of the prompt length. */
    private static final double MILLIS_PER_MILLION_TOKEN_PAIRS = 0.3;

    /** Weight of the newest request in the moving averages, which therefore cover a few hundred requests. */
    private static final double SMOOTHING_WEIGHT = 0.01;

    private double longPromptMillis;
    private double averageMillis;

    static boolean isLongPrompt(PromptShape prompt) {
        return prompt.inputTokens() >= LONG_PROMPT_TOKENS;
    }

    /** Adds the estimated work of a request to the averages. */
    void recordArrival(PromptShape prompt) {
        double tokens = prompt.inputTokens();
        double millis = tokens / PROMPT_TOKENS_PER_MILLISECOND + MILLIS_PER_MILLION_TOKEN_PAIRS * tokens * tokens / 1e6;
        averageMillis += SMOOTHING_WEIGHT * (millis - averageMillis);
        longPromptMillis += SMOOTHING_WEIGHT * ((isLongPrompt(prompt) ? millis : 0) - longPromptMillis);
    }

    /**
     * Returns the engines for long prompts; empty with fewer than two engines or without long prompts. The engines are
     * ordered by their hash with the text "lane", which must be the same in every daemon and must not change: daemons
     * with another text would select another pool.
     */
    Set<ServerId> members(List<ServerId> servers) {
        if (servers.size() < 2 || longPromptMillis <= 0) {
            return Set.of();
        }
        long size = (long) Math.ceil(servers.size() * longPromptMillis / averageMillis);
        return new HashSet<>(servers.stream()
                .sorted(Comparator.comparingLong(server -> ServerSelector.rendezvousHash("lane", server.value())))
                .limit(Math.max(1, Math.min(servers.size() - 1, size)))
                .toList());
    }
}
