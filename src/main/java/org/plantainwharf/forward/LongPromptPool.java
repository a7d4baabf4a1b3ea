package org.plantainwharf.forward;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.plantainwharf.identity.ServerId;

/**
 * Keeps long prompts on some of a service's engines, so that short ones do not wait behind them: an engine reads prompts
 * in their order, and a long one takes longer than the whole time that a short request has. The engines for long prompts
 * are the first by a hash that every daemon computes alike; how many they are follows the work that long prompts make.
 * Owned by the control thread.
 */
final class LongPromptPool {
    /** A prompt of this length takes an engine a fifth of the tightest target latency of the described kind, 400 ms. */
    private static final long LONG_PROMPT_TOKENS = 8_192;

    /** Prompt tokens that an engine reads in a millisecond. */
    private static final double PROMPT_TOKENS_PER_MILLISECOND = 100;

    /** Milliseconds for a million pairs of prompt tokens, which long prompts take besides. */
    private static final double MILLIS_PER_MILLION_TOKEN_PAIRS = 0.3;

    /** Weight of the newest request in the share of long prompts; some hundred requests decide. */
    private static final double SMOOTHING_WEIGHT = 0.01;

    private double longPromptMillis;
    private double averageMillis;

    /** Says whether a prompt is long. */
    static boolean isLongPrompt(PromptShape prompt) {
        return prompt.inputTokens() >= LONG_PROMPT_TOKENS;
    }

    /** Counts the work that a request makes. */
    void recordArrival(PromptShape prompt) {
        double tokens = prompt.inputTokens();
        double millis = tokens / PROMPT_TOKENS_PER_MILLISECOND + MILLIS_PER_MILLION_TOKEN_PAIRS * tokens * tokens / 1e6;
        averageMillis += SMOOTHING_WEIGHT * (millis - averageMillis);
        longPromptMillis += SMOOTHING_WEIGHT * ((isLongPrompt(prompt) ? millis : 0) - longPromptMillis);
    }

    /** Returns the engines for long prompts, none while there are fewer than two engines or no long prompts. */
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
