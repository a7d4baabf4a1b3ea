package org.plantainwharf.sheet;

import java.util.Set;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RankName;

/**
 * A client account. Immutable.
 *
 * @param name the account
 * @param keyDigest lower-case hexadecimal SHA-256 of the account's bearer key
 * @param weight weight relative to other accounts within a rank, greater than 0
 * @param requestsPerSecond total rate limit across all hosts, greater than 0
 * @param ranks the ranks that the account may use
 */
public record ClientAccount(
        AccountName name, String keyDigest, double weight, double requestsPerSecond, Set<RankName> ranks) {
    /** Copies the ranks. */
    public ClientAccount {
        ranks = Set.copyOf(ranks);
    }
}
