package org.plantainwharf.document;

import java.util.OptionalLong;
import java.util.Set;

import org.plantainwharf.forward.ForwardHead;
import org.plantainwharf.identity.AccountName;

/**
 * Keys and limit of one client account. Immutable.
 *
 * @param priority overrides the priority of the route; empty if the route's priority applies
 * @param limitCountsTokens whether rate and burst count tokens; otherwise they count requests
 * @param defaultTokens tokens charged for a request without a prompt
 * @param ratePerSecond tokens or requests per second; 0 for no limit
 * @param burst depth of the token bucket, in tokens or requests
 */
public record AccountRule(
        AccountName name,
        Set<String> keys,
        OptionalLong priority,
        boolean limitCountsTokens,
        long defaultTokens,
        double ratePerSecond,
        double burst) {
    /** Copies the keys. */
    public AccountRule {
        keys = Set.copyOf(keys);
    }

    /** Returns what a request is charged: its input and output tokens, or 1 if the limit counts requests. */
    public double cost(ForwardHead head) {
        if (!limitCountsTokens) {
            return 1;
        }
        return head.prompt()
                .map(prompt -> (double) prompt.inputTokens() + prompt.outputTokens())
                .orElse((double) defaultTokens);
    }

    public boolean limited() {
        return ratePerSecond > 0;
    }
}
