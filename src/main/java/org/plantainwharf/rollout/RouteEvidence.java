package org.plantainwharf.rollout;

import java.util.List;

import org.plantainwharf.identity.RouteName;

/**
 * What one daemon has seen of answers on a route since a rollout began, of one start of a server of the target version or
 * of all servers of other versions. The counts only grow. Immutable.
 *
 * @param target whether the answers are those of the target version, or those of all others
 * @param server the server and its start; empty for other versions, and for servers beyond the number that is told apart
 * @param answers attempts that ended by an answer, a refusal or a failure
 * @param failures of these, those that failed or broke off by fault of the server, except those that count as lost
 * @param refused of these, those that the server refused to run
 * @param lost of these, those whose connection the server lost within a second of the first one that it lost, as in a
 *     crash, which ends all requests of a server at once
 * @param times successful answers by the time to their start, in the buckets of {@link AnswerTimes}
 * @param durations successful answers by the time to their end
 */
public record RouteEvidence(
        RouteName route,
        boolean target,
        String server,
        long answers,
        long failures,
        long refused,
        long lost,
        List<Long> times,
        List<Long> durations) {
    /** Copies the lists. */
    public RouteEvidence {
        times = List.copyOf(times);
        durations = List.copyOf(durations);
    }
}
