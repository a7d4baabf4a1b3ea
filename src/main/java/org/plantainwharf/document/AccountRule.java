package org.plantainwharf.document;

import java.util.OptionalInt;
import java.util.Set;

import org.plantainwharf.forward.ForwardHead;
import org.plantainwharf.identity.AccountName;

/**
 * Keys and limit of one client account. Immutable.
 *
 * @param priority replaces the priority of a route
 * @param limitsTokens whether rate and burst count tokens; requests otherwise
 * @param plainTokens tokens counted for a request that states none
 * @param ratePerSecond 0 for no limit
 */
public record AccountRule(
        AccountName name,
        Set<String> keys,
        OptionalInt priority,
        boolean limitsTokens,
        long plainTokens,
        double ratePerSecond,
        double burst) {
    /** Copies the keys. */
    public AccountRule {
        keys = Set.copyOf(keys);
    }

    /** Returns what a request takes from the limit: its tokens, or 1 where requests are counted. */
    public double cost(ForwardHead head) {
        if (!limitsTokens) {
            return 1;
        }
        return head.prompt()
                .map(prompt -> (double) prompt.inputTokens() + prompt.outputTokens())
                .orElse((double) plainTokens);
    }

    /** Says whether the account has a limit. */
    public boolean limited() {
        return ratePerSecond > 0;
    }
}
