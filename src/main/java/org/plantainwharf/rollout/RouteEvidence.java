package org.plantainwharf.rollout;

import java.util.List;

import org.plantainwharf.identity.RouteName;

/**
 * What one daemon has seen of answers on a route since a rollout began. Immutable.
 *
 * @param target whether the answers are those of the target version, or those of all others
 * @param answers answers that ended, failures included
 * @param failures answers that failed or broke off by fault of the server
 * @param times successful answers by the time to their start, in buckets that grow by a fixed factor
 */
public record RouteEvidence(RouteName route, boolean target, long answers, long failures, List<Long> times) {
    /** Copies the list. */
    public RouteEvidence {
        times = List.copyOf(times);
    }
}
